//! How old the last confirmation of the configuration is, shared between the threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use schema::settings::GatewaySettings;

/// Part of the longest allowed age up to which keys are accepted.
const AGE_MARGIN_FRACTION: f64 = 0.9;

/// Where keys have no bound, a route or key that is not known is denied only while the last confirmation
/// is younger than this many times the time that a change may take. A gateway that follows the store
/// stays below once that time, so this is passed only while the store and the others are away.
const DENIAL_CHANGE_DUES: u32 = 2;

/// Time after the request to stop in which requests are still taken: callers are sent elsewhere only
/// once this gateway has said twice that it takes none.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2200);

/// How old the last confirmation of the configuration may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxAges {
    /// To accept a key; `None` sets no bound.
    pub keys: Option<Duration>,
    /// To say that a route or a key does not exist.
    pub denials: Duration,
}

impl MaxAges {
    /// The ages that the settings demand.
    pub fn of(settings: &GatewaySettings) -> Self {
        let millis = |ms: i64| Duration::from_millis(ms.max(0) as u64);
        let keys = Some(millis(settings.credential_age_ms)).filter(|age| !age.is_zero());
        MaxAges {
            keys,
            denials: keys.unwrap_or(millis(settings.change_due_ms) * DENIAL_CHANGE_DUES),
        }
    }
}

/// Written by the control thread, read at each use by the traffic thread.
#[derive(Debug, Default)]
pub struct Freshness {
    // Microseconds on the monotonic clock, 0 for never.
    confirmed_us: AtomicU64,
    // When a stop was asked for, as above.
    stopping_us: AtomicU64,
}

impl Freshness {
    /// The configuration in force was the newest at this time.
    pub fn confirm(&self, at: Duration) {
        let micros = at.as_micros() as u64;
        self.confirmed_us.fetch_max(micros, Ordering::Relaxed);
    }

    /// Age of the last confirmation, `None` if there was none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        match self.confirmed_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(now.saturating_sub(Duration::from_micros(micros))),
        }
    }

    /// Whether a key that the known configuration names may be accepted now. Where no longest age of a
    /// confirmation is demanded, it may whatever the age: callers are served while the store is away.
    pub fn allows_keys(&self, now: Duration, max_age: Option<Duration>) -> bool {
        max_age.is_none_or(|max_age| self.is_confirmed(now, max_age))
    }

    /// Whether the last confirmation is younger than `max_age`, with a margin.
    pub fn is_confirmed(&self, now: Duration, max_age: Duration) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| age < max_age.mul_f64(AGE_MARGIN_FRACTION))
    }

    /// The gateway was asked to stop; only the first time counts.
    pub fn stop(&self, now: Duration) {
        let micros = now.as_micros().max(1) as u64;
        let (set, seen) = (Ordering::Relaxed, Ordering::Relaxed);
        let _ = self.stopping_us.compare_exchange(0, micros, set, seen);
    }

    /// Whether the gateway was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping_us.load(Ordering::Relaxed) != 0
    }

    /// Time since the gateway was asked to stop.
    pub fn time_since_stop(&self, now: Duration) -> Option<Duration> {
        match self.stopping_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(now.saturating_sub(Duration::from_micros(micros))),
        }
    }

    /// Whether the time for new requests is over.
    pub fn is_closed(&self, now: Duration) -> bool {
        self.time_since_stop(now)
            .is_some_and(|time| time >= STOP_ACCEPT_TIME)
    }
}
