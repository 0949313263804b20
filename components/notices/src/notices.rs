//! Notices by the start of the endpoint that gave them.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

/// Starts of endpoints remembered, those with the newest notices: 840 endpoints that all ask for a pause while a fleet of
/// them is replaced a few times. Some 150 bytes each, reckoned.
const MOST_NOTICES: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Whether an endpoint wants requests of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It said nothing against it.
    Open,
    /// It leaves and wants none any more.
    Leaving,
    /// It wants none for so long.
    Paused(Duration),
}

#[derive(Debug)]
struct Notice {
    service: String,
    is_leaving: bool,
    paused_until: Duration,
}

impl Notice {
    fn standing(&self, now: Duration) -> Standing {
        if self.is_leaving {
            return Standing::Leaving;
        }
        match self.paused_until.saturating_sub(now) {
            Duration::ZERO => Standing::Open,
            left => Standing::Paused(left),
        }
    }
}

/// What endpoints said to this gateway; each is named by the hash of its start.
#[derive(Debug)]
pub struct Notices {
    notices: LruCache<u64, Notice>,
}

impl Default for Notices {
    fn default() -> Self {
        Notices {
            notices: LruCache::new(MOST_NOTICES),
        }
    }
}

impl Notices {
    /// An endpoint of a service says that it leaves; that is never taken back. Says whether it is news.
    pub fn note_leaving(&mut self, start: u64, service: &str) -> bool {
        let notice = self.notice(start, service);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// An endpoint of a service wants nothing from now on for `pause`. Of several pauses the one that ends last binds: each
    /// was asked for.
    pub fn note_pause(&mut self, now: Duration, start: u64, service: &str, pause: Duration) {
        self.drop_ended(now);
        let notice = self.notice(start, service);
        notice.paused_until = notice.paused_until.max(now.saturating_add(pause));
    }

    /// Whether an endpoint wants requests.
    pub fn standing(&self, now: Duration, start: u64) -> Standing {
        let notice = self.notices.peek(&start);
        notice.map_or(Standing::Open, |notice| notice.standing(now))
    }

    /// Whether no endpoint said anything that is remembered.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Endpoints of a service that want no requests, at most so many, those first that said so last.
    pub fn closed(&self, now: Duration, service: &str, most: usize) -> Vec<u64> {
        let closed = self.notices.iter().filter(|(_, notice)| {
            notice.service == service && notice.standing(now) != Standing::Open
        });
        closed.map(|(start, _)| *start).take(most).collect()
    }

    /// Time until the first endpoint of a service that paused wants requests again; `None` if none is paused.
    pub fn least_pause(&self, now: Duration, service: &str) -> Option<Duration> {
        let of_service = self.notices.iter().filter(|(_, n)| n.service == service);
        let left = of_service.filter_map(|(_, notice)| match notice.standing(now) {
            Standing::Paused(left) => Some(left),
            Standing::Open | Standing::Leaving => None,
        });
        left.min()
    }

    fn notice(&mut self, start: u64, service: &str) -> &mut Notice {
        self.notices.get_or_insert_mut(start, || Notice {
            service: service.to_string(),
            is_leaving: false,
            paused_until: Duration::ZERO,
        })
    }

    // The oldest ones, as far as their pauses are over.
    fn drop_ended(&mut self, now: Duration) {
        while let Some((_, oldest)) = self.notices.peek_lru() {
            if oldest.standing(now) != Standing::Open {
                return;
            }
            self.notices.pop_lru();
        }
    }
}
