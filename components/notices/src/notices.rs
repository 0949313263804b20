//! Notices by the start of the endpoint that gave them.

use std::time::Duration;

use limits::SendRate;
use lru::LruCache;

/// Starts of endpoints remembered, those with the newest notices. Some 200 bytes each, for those that said something only.
const MOST_NOTICES: usize = 32_768;

/// What comes again by way of other gateways seems to have been asked for later, by the time on the way. It is the same if
/// it is no newer than this, and stays as old as it was.
const SAME_NOTICE: Duration = Duration::from_millis(100);

/// Whether an endpoint wants requests of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It said nothing against it.
    Open,
    /// It leaves and wants none any more.
    Leaving,
    /// It wants none for so long.
    Paused(Duration),
    /// The limit that it named is used up for so long, whoever sends.
    Spent(Duration),
}

/// What an endpoint said of the rate at which it takes requests of all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitNotice {
    /// Hash of the start of the endpoint.
    pub start: u64,
    /// Its service.
    pub service: String,
    /// The rate; `None` if it named no limit.
    pub rate: Option<SendRate>,
    /// When the request was sent whose answer said so. Answers overtake each other, so the newest request decides.
    pub asked_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Option<SendRate>,
    asked_at: Duration,
    // Until when no send is granted, as far as is known here.
    spent_until: Duration,
}

#[derive(Debug)]
struct Notice {
    service: String,
    is_leaving: bool,
    paused_until: Duration,
    limit: Option<Limit>,
}

impl Notice {
    fn standing(&self, now: Duration) -> Standing {
        if self.is_leaving {
            return Standing::Leaving;
        }
        let spent_until = self.limit.map_or(Duration::ZERO, |l| l.spent_until);
        let paused = self.paused_until.saturating_sub(now);
        match spent_until.saturating_sub(now) {
            spent if spent > paused => Standing::Spent(spent),
            _ if paused.is_zero() => Standing::Open,
            _ => Standing::Paused(paused),
        }
    }

    fn rate(&self) -> Option<SendRate> {
        self.limit?.rate
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
            notices: LruCache::unbounded(),
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

    /// Takes what an endpoint said of its limit, unless a request sent later said something. Says whether it is news.
    pub fn note_limit(&mut self, said: &LimitNotice) -> bool {
        let known = self.notices.peek(&said.start).and_then(|n| n.limit);
        let is_past = match known {
            None => said.rate.is_none(),
            Some(known) if said.rate == known.rate => said.asked_at <= known.asked_at + SAME_NOTICE,
            Some(known) => said.asked_at <= known.asked_at,
        };
        if is_past {
            return false;
        }
        let spent_until = known.map_or(Duration::ZERO, |known| known.spent_until);
        let notice = self.notice(said.start, &said.service);
        notice.limit = Some(Limit {
            rate: said.rate,
            asked_at: said.asked_at,
            spent_until: match said.rate {
                Some(_) => spent_until,
                None => Duration::ZERO,
            },
        });
        true
    }

    /// The limit of an endpoint is used up for so long.
    pub fn note_spent(&mut self, now: Duration, start: u64, wait: Duration) {
        let notice = self.notices.get_mut(&start);
        if let Some(limit) = notice.and_then(|notice| notice.limit.as_mut()) {
            limit.spent_until = now.saturating_add(wait);
        }
    }

    /// The rate that an endpoint named, if it has a limit.
    pub fn limit(&self, start: u64) -> Option<SendRate> {
        self.notices.peek(&start)?.rate()
    }

    /// The newest that an endpoint said of its limit, if it ever named one.
    pub fn limit_notice(&self, start: u64) -> Option<LimitNotice> {
        let notice = self.notices.peek(&start)?;
        let limit = notice.limit?;
        Some(LimitNotice {
            start,
            service: notice.service.clone(),
            rate: limit.rate,
            asked_at: limit.asked_at,
        })
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

    /// Time until the first endpoint of a service that paused, or whose limit is used up, wants requests again; `None` if there
    /// is none.
    pub fn least_pause(&self, now: Duration, service: &str) -> Option<Duration> {
        let of_service = self.notices.iter().filter(|(_, n)| n.service == service);
        let left = of_service.filter_map(|(_, notice)| match notice.standing(now) {
            Standing::Paused(left) | Standing::Spent(left) => Some(left),
            Standing::Open | Standing::Leaving => None,
        });
        left.min()
    }

    /// Whether the limit of some endpoint of a service is used up.
    pub fn is_any_spent(&self, now: Duration, service: &str) -> bool {
        let mut of_service = self.notices.iter().filter(|(_, n)| n.service == service);
        of_service.any(|(_, notice)| matches!(notice.standing(now), Standing::Spent(_)))
    }

    fn notice(&mut self, start: u64, service: &str) -> &mut Notice {
        if self.notices.len() >= MOST_NOTICES && !self.notices.contains(&start) {
            self.notices.pop_lru();
        }
        self.notices.get_or_insert_mut(start, || Notice {
            service: service.to_string(),
            is_leaving: false,
            paused_until: Duration::ZERO,
            limit: None,
        })
    }

    // The oldest ones, as far as nothing that they said binds.
    fn drop_ended(&mut self, now: Duration) {
        while let Some((_, oldest)) = self.notices.peek_lru() {
            if oldest.standing(now) != Standing::Open || oldest.limit.is_some() {
                return;
            }
            self.notices.pop_lru();
        }
    }
}
