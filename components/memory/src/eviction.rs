//! Which caller is ended first when memory is short.

use std::time::Duration;

/// A caller that took nothing for this long reads nothing: networks and pauses of a collector are shorter.
const MIN_STALL: Duration = Duration::from_secs(3);

/// An answer on its way to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Bytes held for it.
    pub held: u64,
    /// Time since the caller took some of them.
    pub stalled: Duration,
    /// Time since its endpoint's answer was last read, if reading stopped for want of memory.
    pub unread: Option<Duration>,
}

/// What is known of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointTimeouts {
    /// Time after which endpoints cut an unread answer off, once that was seen.
    pub cut_after: Option<Duration>,
}

/// The delivery that gives its memory back first: of those that make no progress, or whose endpoint has cut their answer
/// off by now, the one with the greatest product of bytes held and time without progress. A caller that takes anything at
/// all, and whose endpoint is not known to have given up, is never chosen.
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
