//! Age of the last confirmation of the configuration, shared between the threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use schema::settings::GatewaySettings;

/// Fraction of the maximum age up to which a confirmation counts; the rest is a margin.
const AGE_MARGIN_FRACTION: f64 = 0.9;

/// Where keys have no maximum age, an unknown route or key is denied only while the last confirmation is
/// younger than this many times the time that a change may take. A gateway that follows the store stays below
/// one such time, so the bound is exceeded only while neither the store nor the other gateways are reachable.
const DENIAL_CHANGE_DUES: u32 = 2;

/// Time after a stop request in which new requests are still accepted: callers are sent elsewhere only after
/// two negative readiness answers.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2200);

/// A stop completes this long before the end of the grace period, when the process would be killed.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Maximum ages of the last confirmation of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxAges {
    /// To accept a key; `None` for no maximum.
    pub keys: Option<Duration>,
    /// To answer that a route or a key does not exist.
    pub denials: Duration,
    /// Of the endpoint records that a request is placed from. The rest of the time within which an endpoint's leaving has to
    /// be in force is a margin, for the reply and the connect.
    pub endpoints: Duration,
}

impl MaxAges {
    /// The maximum ages from the settings.
    pub fn of(settings: &GatewaySettings) -> Self {
        let millis = |ms: i64| Duration::from_millis(ms.max(0) as u64);
        let keys = Some(millis(settings.credential_age_ms)).filter(|age| !age.is_zero());
        let change_due = millis(settings.change_due_ms);
        MaxAges {
            keys,
            denials: keys.unwrap_or(change_due * DENIAL_CHANGE_DUES),
            endpoints: change_due.mul_f64(AGE_MARGIN_FRACTION),
        }
    }
}

/// Written by the control thread, read at each use by the traffic thread.
#[derive(Debug, Default)]
pub struct Freshness {
    // Microseconds on the monotonic clock, 0 for never.
    confirmed_us: AtomicU64,
    // Time of the stop request, in the same form.
    stopping_us: AtomicU64,
}

impl Freshness {
    /// Records that the configuration in use was the newest at this time.
    pub fn confirm(&self, at: Duration) {
        let micros = at.as_micros() as u64;
        self.confirmed_us.fetch_max(micros, Ordering::Relaxed);
    }

    /// Age of the last confirmation; `None` if there was none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        match self.confirmed_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(now.saturating_sub(Duration::from_micros(micros))),
        }
    }

    /// Whether a key of the known configuration is accepted now. Without a maximum age it always is: callers
    /// are served while the store is unreachable.
    pub fn allows_keys(&self, now: Duration, max_age: Option<Duration>) -> bool {
        max_age.is_none_or(|max_age| self.is_confirmed(now, max_age))
    }

    /// Whether the last confirmation is younger than `max_age`, with a margin.
    pub fn is_confirmed(&self, now: Duration, max_age: Duration) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| age < max_age.mul_f64(AGE_MARGIN_FRACTION))
    }

    /// Records a stop request; only the first one counts.
    pub fn stop(&self, now: Duration) {
        let micros = now.as_micros().max(1) as u64;
        let (set, seen) = (Ordering::Relaxed, Ordering::Relaxed);
        let _ = self.stopping_us.compare_exchange(0, micros, set, seen);
    }

    /// Whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping_us.load(Ordering::Relaxed) != 0
    }

    /// Time since a stop was requested.
    pub fn time_since_stop(&self, now: Duration) -> Option<Duration> {
        match self.stopping_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(now.saturating_sub(Duration::from_micros(micros))),
        }
    }

    /// Time by which a planned stop completes, `grace` being the time from its request to the kill of the process; `None` unless
    /// a stop was requested.
    pub fn drain_deadline(&self, grace: Duration) -> Option<Duration> {
        match self.stopping_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Duration::from_micros(micros) + grace.saturating_sub(STOP_MARGIN)),
        }
    }

    /// Whether a stop was requested so long ago that new requests are no longer accepted.
    pub fn is_closed(&self, now: Duration) -> bool {
        self.time_since_stop(now)
            .is_some_and(|time| time >= STOP_ACCEPT_TIME)
    }
}
