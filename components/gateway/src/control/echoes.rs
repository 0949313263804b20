//! Round-trip times between coordinators, measured by echoing the send times of their messages.
//!
//! Each message echoes the latest message of one other coordinator, in turn. So no message is sent only to
//! measure, and the clocks of two processes are never compared. Does no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use routing::weight;
use schema::messages::Echo;

/// Age after which a message is no longer echoed: the time for which its sender counts as alive.
const MAX_ECHO_AGE: Duration = Duration::from_millis(1500);
/// Upper limit of a measured round-trip time. A message may be queued behind a full link or sent to a suspended
/// process; such a measurement must not be taken for a short round trip, so it is capped and not dropped.
const MAX_ROUND_TRIP: Duration = Duration::from_secs(2);

/// Latest messages of the other coordinators.
#[derive(Debug, Default)]
pub struct Echoes {
    // By gateway: the send time on the sender's clock in ms, and the time of receipt.
    received: BTreeMap<String, (i64, Duration)>,
    // Gateway whose message was echoed last.
    last: String,
}

impl Echoes {
    /// Records a message of a coordinator, sent at `uptime_ms` on its clock.
    pub fn receive(&mut self, now: Duration, gateway: &str, uptime_ms: i64) {
        self.received.insert(gateway.to_string(), (uptime_ms, now));
    }

    /// The echo for the next message, of each coordinator in turn.
    pub fn next(&mut self, now: Duration) -> Option<Echo> {
        self.received.retain(|_, (_, at)| now < *at + MAX_ECHO_AGE);
        let after = (
            std::ops::Bound::Excluded(self.last.clone()),
            std::ops::Bound::Unbounded,
        );
        let next = self.received.range(after).next();
        let (name, (uptime_ms, at)) = next.or_else(|| self.received.iter().next())?;
        self.last = name.clone();
        Some(Echo {
            gateway: name_hash(name),
            uptime_ms: *uptime_ms,
            held_us: now.saturating_sub(*at).as_micros() as i64,
        })
    }
}

/// Round-trip time that an echo shows, if it is of a message of the gateway `own`.
pub fn round_trip(now: Duration, own: &str, echo: &Echo) -> Option<Duration> {
    if echo.gateway != name_hash(own) {
        return None;
    }
    let sent = Duration::from_millis(u64::try_from(echo.uptime_ms).ok()?);
    let held = Duration::from_micros(u64::try_from(echo.held_us).ok()?);
    let elapsed = now.checked_sub(sent)?.checked_sub(held)?;
    Some(elapsed.min(MAX_ROUND_TRIP))
}

fn name_hash(name: &str) -> i64 {
    weight(0, name) as i64
}
