//! Choice of the answer that is cut off when memory is short.

use std::time::Duration;

/// A caller that read nothing for this long counts as stalled; network delays and garbage collector pauses are shorter.
const MIN_STALL: Duration = Duration::from_secs(3);

/// An answer that is being delivered to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Bytes held for the answer.
    pub held: u64,
    /// Time since the caller last read some of the bytes.
    pub stalled: Duration,
    /// Time since the endpoint's answer was last read, if reading stopped because of lack of memory.
    pub unread: Option<Duration>,
}

/// Observed timeouts of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointTimeouts {
    /// Time after which endpoints cut off an unread answer; `None` until this was observed.
    pub cut_after: Option<Duration>,
}

/// Returns the index of the delivery to evict: of those without progress, or whose endpoint has cut off the answer by now,
/// the one with the largest product of bytes held and time without progress. A delivery with progress is never chosen
/// unless its endpoint is known to have cut it off.
pub fn eviction_candidate(deliveries: &[Delivery], timeouts: EndpointTimeouts) -> Option<usize> {
    let mut found: Option<(usize, f64)> = None;
    for (i, delivery) in deliveries.iter().enumerate() {
        if delivery.held == 0 || !can_evict(delivery, timeouts) {
            continue;
        }
        let weight = delivery.held as f64 * delivery.stalled.as_secs_f64().max(f64::MIN_POSITIVE);
        if found.is_none_or(|(_, heaviest)| weight > heaviest) {
            found = Some((i, weight));
        }
    }
    found.map(|(i, _)| i)
}

fn can_evict(delivery: &Delivery, timeouts: EndpointTimeouts) -> bool {
    let is_cut = match (delivery.unread, timeouts.cut_after) {
        (Some(unread), Some(cut_after)) => unread >= cut_after,
        _ => false,
    };
    is_cut || delivery.stalled >= MIN_STALL
}
