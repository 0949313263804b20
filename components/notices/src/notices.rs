//! Notices by the start of the endpoint that gave them.

use std::time::Duration;

use limits::SendRate;
use lru::LruCache;

/// Starts of endpoints remembered, those with the newest notices. Some 200 bytes each, for those that said something only.
const MAX_NOTICES: usize = 32_768;

/// What comes again by way of other gateways seems to have been asked for later, by the time on the way. It is the same if
/// it is no newer than this, and stays as old as it was.
const DUPLICATE_TOLERANCE: Duration = Duration::from_millis(100);

/// Whether an endpoint wants requests of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It said nothing against it.
    Open,
    /// It leaves and wants none any more.
    Leaving,
    /// It wants none for so long.
    Paused(Duration),
    /// The limit that it named is used up for so long, whoever sends.
    LimitExhausted(Duration),
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
    exhausted_until: Duration,
}

#[derive(Debug)]
struct Notice {
    service: String,
    is_leaving: bool,
    paused_until: Duration,
    limit: Option<Limit>,
}

impl Notice {
    fn availability(&self, now: Duration) -> Availability {
        if self.is_leaving {
            return Availability::Leaving;
        }
        let exhausted_until = self.limit.map_or(Duration::ZERO, |l| l.exhausted_until);
        let paused = self.paused_until.saturating_sub(now);
        match exhausted_until.saturating_sub(now) {
            exhausted if exhausted > paused => Availability::LimitExhausted(exhausted),
            _ if paused.is_zero() => Availability::Open,
            _ => Availability::Paused(paused),
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
    pub fn record_leaving(&mut self, start: u64, service: &str) -> bool {
        let notice = self.notice(start, service);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// An endpoint of a service wants nothing from now on for `pause`. Of several pauses the one that ends last binds: each
    /// was asked for.
    pub fn record_pause(&mut self, now: Duration, start: u64, service: &str, pause: Duration) {
        self.remove_expired(now);
        let notice = self.notice(start, service);
        notice.paused_until = notice.paused_until.max(now.saturating_add(pause));
    }

    /// Takes what an endpoint said of its limit, unless a request sent later said something. Says whether it is news.
    pub fn record_limit(&mut self, reported: &LimitNotice) -> bool {
        let known = self.notices.peek(&reported.start).and_then(|n| n.limit);
        let is_outdated = match known {
            None => reported.rate.is_none(),
            Some(known) if reported.rate == known.rate => {
                reported.asked_at <= known.asked_at + DUPLICATE_TOLERANCE
            }
            Some(known) => reported.asked_at <= known.asked_at,
        };
        if is_outdated {
            return false;
        }
        let exhausted_until = known.map_or(Duration::ZERO, |known| known.exhausted_until);
        let notice = self.notice(reported.start, &reported.service);
        notice.limit = Some(Limit {
            rate: reported.rate,
            asked_at: reported.asked_at,
            exhausted_until: match reported.rate {
                Some(_) => exhausted_until,
                None => Duration::ZERO,
            },
        });
        true
    }

    /// The limit of an endpoint is used up for so long.
    pub fn record_limit_exhausted(&mut self, now: Duration, start: u64, wait: Duration) {
        let notice = self.notices.get_mut(&start);
        if let Some(limit) = notice.and_then(|notice| notice.limit.as_mut()) {
            limit.exhausted_until = now.saturating_add(wait);
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
    pub fn availability(&self, now: Duration, start: u64) -> Availability {
        let notice = self.notices.peek(&start);
        notice.map_or(Availability::Open, |notice| notice.availability(now))
    }

    /// Whether no endpoint said anything that is remembered.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Endpoints of a service that want no requests, at most so many, those first that said so last.
    pub fn unavailable(&self, now: Duration, service: &str, limit: usize) -> Vec<u64> {
        let unavailable = self.notices.iter().filter(|(_, notice)| {
            notice.service == service && notice.availability(now) != Availability::Open
        });
        unavailable.map(|(start, _)| *start).take(limit).collect()
    }

    /// Time until the first endpoint of a service that paused, or whose limit is used up, wants requests again; `None` if there
    /// is none.
    pub fn min_time_until_open(&self, now: Duration, service: &str) -> Option<Duration> {
        let of_service = self.notices.iter().filter(|(_, n)| n.service == service);
        let left = of_service.filter_map(|(_, notice)| match notice.availability(now) {
            Availability::Paused(left) | Availability::LimitExhausted(left) => Some(left),
            Availability::Open | Availability::Leaving => None,
        });
        left.min()
    }

    /// Whether the limit of some endpoint of a service is used up.
    pub fn has_exhausted_limit(&self, now: Duration, service: &str) -> bool {
        let mut of_service = self.notices.iter().filter(|(_, n)| n.service == service);
        of_service
            .any(|(_, notice)| matches!(notice.availability(now), Availability::LimitExhausted(_)))
    }

    fn notice(&mut self, start: u64, service: &str) -> &mut Notice {
        if self.notices.len() >= MAX_NOTICES && !self.notices.contains(&start) {
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
    fn remove_expired(&mut self, now: Duration) {
        while let Some((_, oldest)) = self.notices.peek_lru() {
            if oldest.availability(now) != Availability::Open || oldest.limit.is_some() {
                return;
            }
            self.notices.pop_lru();
        }
    }
}
