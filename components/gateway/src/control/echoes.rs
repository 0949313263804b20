//! How long messages between coordinators take, from echoes of the times at which they were sent.
//!
//! Each message says when one message of one other coordinator came, the next one when one of another did. So no message
//! is sent for measuring, and clocks of two processes are never compared. Pure.

use std::collections::BTreeMap;
use std::time::Duration;

use routing::weight;
use schema::messages::Echo;

/// A message that came longer ago is not echoed: as long as its sender counts as alive.
const LONGEST_HELD: Duration = Duration::from_millis(1500);
/// Longer ways count as this long: a message behind a full link, which must not be taken for a short way, or one to a
/// process that stood still.
const LONGEST_WAY: Duration = Duration::from_secs(2);

/// Newest messages of other coordinators.
#[derive(Debug, Default)]
pub struct Echoes {
    // When it was sent on the sender's clock, and when it came.
    received: BTreeMap<String, (i64, Duration)>,
    // Whose message was echoed last.
    last: String,
}

impl Echoes {
    /// A message of a coordinator came, sent at `uptime_ms` on its clock.
    pub fn receive(&mut self, now: Duration, gateway: &str, uptime_ms: i64) {
        self.received.insert(gateway.to_string(), (uptime_ms, now));
    }

    /// The echo for the next message, of each coordinator in turn.
    pub fn next(&mut self, now: Duration) -> Option<Echo> {
        self.received.retain(|_, (_, at)| now < *at + LONGEST_HELD);
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

/// Time that a message to another gateway and its echo took, if it was one of `own`.
pub fn round_trip(now: Duration, own: &str, echo: &Echo) -> Option<Duration> {
    if echo.gateway != name_hash(own) {
        return None;
    }
    let sent = Duration::from_millis(u64::try_from(echo.uptime_ms).ok()?);
    let held = Duration::from_micros(u64::try_from(echo.held_us).ok()?);
    let way = now.checked_sub(sent)?.checked_sub(held)?;
    Some(way.min(LONGEST_WAY))
}

fn name_hash(name: &str) -> i64 {
    weight(0, name) as i64
}
