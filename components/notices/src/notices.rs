//! Storage of notices by endpoint start.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::SendRate;
use lru::LruCache;

/// Maximum number of endpoint starts with stored notices; the ones with the newest notices are kept. Each takes about
/// 200 bytes.
const MAX_NOTICES: usize = 32_768;

/// A limit notice forwarded by other gateways appears newer by the time it was under way. An equal rate that is newer by
/// no more than this is a duplicate and does not refresh the stored notice.
const DUPLICATE_TOLERANCE: Duration = Duration::from_millis(100);

/// A service's endpoints count as fragile for this time after an answer that says so: without requests there are no
/// answers.
const FRAGILE_TIME: Duration = Duration::from_secs(10);
/// Period to which the number of refusals refers that a fragile endpoint withstands.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// Whether an endpoint accepts requests from this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// No notice in effect prevents requests.
    Open,
    /// The endpoint is leaving and accepts no further requests.
    Leaving,
    /// The endpoint asked for a pause; it ends after this time.
    Paused(Duration),
    /// The rate limit of the endpoint is exhausted for this time, for all gateways.
    LimitExhausted(Duration),
    /// The endpoint turned a request away for want of room, and fails if it has to turn too many away. It gets no requests
    /// for this time, from no gateway.
    Full(Duration),
}

/// An endpoint's notice of the rate at which it accepts requests from all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitNotice {
    /// Hash of the endpoint's start.
    pub start: u64,
    /// The endpoint's service.
    pub service: String,
    /// The rate; `None` if the endpoint has no limit.
    pub rate: Option<SendRate>,
    /// When the request was sent whose answer carried the notice. Answers may overtake each other, so the notice of the
    /// newest request applies.
    pub asked_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Option<SendRate>,
    asked_at: Duration,
    // Until when no send is granted, as far as this gateway knows.
    exhausted_until: Duration,
}

#[derive(Debug)]
struct Notice {
    service: String,
    is_leaving: bool,
    paused_until: Duration,
    full_until: Duration,
    limit: Option<Limit>,
}

// That the endpoints of a service fail if they turn too many requests away.
#[derive(Clone, Copy, Debug)]
struct Fragility {
    max_refusals_per_s: u32,
    stated_at: Duration,
}

impl Notice {
    fn availability(&self, now: Duration) -> Availability {
        if self.is_leaving {
            return Availability::Leaving;
        }
        let full = self.full_until.saturating_sub(now);
        if !full.is_zero() {
            return Availability::Full(full);
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

/// Notices of endpoints, each identified by the hash of its start.
#[derive(Debug)]
pub struct Notices {
    notices: LruCache<u64, Notice>,
    // By service.
    fragile: BTreeMap<String, Fragility>,
}

impl Default for Notices {
    fn default() -> Self {
        Notices {
            notices: LruCache::unbounded(),
            fragile: BTreeMap::new(),
        }
    }
}

impl Notices {
    /// Records that an endpoint of a service is leaving, which is final. Returns whether this was unknown.
    pub fn record_leaving(&mut self, start: u64, service: &str) -> bool {
        let notice = self.notice(start, service);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that an endpoint of a service asks for no requests for `pause` from now on. Of several pauses, the one that
    /// ends last applies, since the endpoint asked for each of them.
    pub fn record_pause(&mut self, now: Duration, start: u64, service: &str, pause: Duration) {
        self.remove_expired(now);
        let notice = self.notice(start, service);
        notice.paused_until = notice.paused_until.max(now.saturating_add(pause));
    }

    /// Records how many requests an endpoint of a service withstands turning away in a second, for all gateways together;
    /// `None` if it states no number. The endpoints of a service state the same. Returns whether that changed.
    pub fn record_fragility(
        &mut self,
        now: Duration,
        service: &str,
        max_refusals_per_s: Option<u32>,
    ) -> bool {
        let known = self.max_refusals_per_s(now, service);
        match max_refusals_per_s {
            Some(max_refusals_per_s) => {
                let fragility = Fragility {
                    max_refusals_per_s,
                    stated_at: now,
                };
                self.fragile.insert(service.to_string(), fragility);
            }
            None => {
                self.fragile.remove(service);
            }
        }
        known != max_refusals_per_s
    }

    /// How many requests an endpoint of a service may turn away in a second before it fails; `None` if any number.
    pub fn max_refusals_per_s(&self, now: Duration, service: &str) -> Option<u32> {
        let fragility = self.fragile.get(service)?;
        (now < fragility.stated_at + FRAGILE_TIME).then_some(fragility.max_refusals_per_s)
    }

    /// Records that an endpoint of a fragile service turned a request away for want of room. It gets no requests until the
    /// refusals of all `gateways`, which each cause one in that time, stay within its number a second. Returns that time,
    /// zero if the service is not fragile.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        start: u64,
        service: &str,
        gateways: usize,
    ) -> Duration {
        let Some(max_refusals) = self.max_refusals_per_s(now, service) else {
            return Duration::ZERO;
        };
        let part = gateways as f64 / f64::from(max_refusals.max(1));
        let pause = REFUSAL_PERIOD.mul_f64(part.max(1.0));
        self.remove_expired(now);
        let notice = self.notice(start, service);
        notice.full_until = notice.full_until.max(now + pause);
        pause
    }

    /// Records an endpoint's limit notice, unless a later request already brought one. Returns whether the notice was new.
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

    /// Records that an endpoint's limit is exhausted for `wait`. Has no effect on an endpoint without a limit notice.
    pub fn record_limit_exhausted(&mut self, now: Duration, start: u64, wait: Duration) {
        let notice = self.notices.get_mut(&start);
        if let Some(limit) = notice.and_then(|notice| notice.limit.as_mut()) {
            limit.exhausted_until = now.saturating_add(wait);
        }
    }

    /// The rate limit of an endpoint, if it has one.
    pub fn limit(&self, start: u64) -> Option<SendRate> {
        self.notices.peek(&start)?.rate()
    }

    /// The newest limit notice of an endpoint, if it ever gave one.
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

    /// Whether an endpoint accepts requests.
    pub fn availability(&self, now: Duration, start: u64) -> Availability {
        let notice = self.notices.peek(&start);
        notice.map_or(Availability::Open, |notice| notice.availability(now))
    }

    /// Whether no notices are stored.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Starts of up to `limit` endpoints of a service that accept no requests, most recent notice first.
    pub fn unavailable(&self, now: Duration, service: &str, limit: usize) -> Vec<u64> {
        let unavailable = self.notices.iter().filter(|(_, notice)| {
            notice.service == service && notice.availability(now) != Availability::Open
        });
        unavailable.map(|(start, _)| *start).take(limit).collect()
    }

    /// Time until the first paused endpoint of a service, or the first with an exhausted limit, accepts requests again;
    /// `None` if there is no such endpoint.
    pub fn min_time_until_open(&self, now: Duration, service: &str) -> Option<Duration> {
        let of_service = self.notices.iter().filter(|(_, n)| n.service == service);
        let left = of_service.filter_map(|(_, notice)| match notice.availability(now) {
            Availability::Paused(left)
            | Availability::LimitExhausted(left)
            | Availability::Full(left) => Some(left),
            Availability::Open | Availability::Leaving => None,
        });
        left.min()
    }

    /// Whether the limit of any endpoint of a service is exhausted.
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
            full_until: Duration::ZERO,
            limit: None,
        })
    }

    // Removes notices that have no effect any more, oldest first, up to the first one that still has.
    fn remove_expired(&mut self, now: Duration) {
        while let Some((_, oldest)) = self.notices.peek_lru() {
            if oldest.availability(now) != Availability::Open || oldest.limit.is_some() {
                return;
            }
            self.notices.pop_lru();
        }
    }
}
