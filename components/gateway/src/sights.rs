//! Load observations from answers ("sights"), and who receives them: a coordinator applies them to its
//! balancer and passes them to the other coordinators; any other gateway sends them with its next query to a
//! coordinator.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use routing::placement::{Placement, Sight, Slowdown};
use schema::messages;
use slog::info;

use crate::ports::AnswerHead;
use crate::traffic::Traffic;

/// Maximum number of sights kept for the next query; the oldest are dropped first.
const MAX_PENDING: usize = 32;
/// Maximum number of sights in one message. They take some 20 bytes each, so a query stays one small datagram.
pub(crate) const MAX_SIGHTS_PER_MESSAGE: usize = 16;
/// Older sights are not sent: the endpoint's machine has other work by then.
const MAX_SIGHT_AGE: Duration = Duration::from_secs(1);

/// Sights that have not been sent to a coordinator yet.
#[derive(Debug, Default)]
pub(crate) struct PendingSights {
    pending: RefCell<VecDeque<Sight>>,
}

impl PendingSights {
    fn push(&self, sight: Sight) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() == MAX_PENDING {
            pending.pop_front();
        }
        pending.push_back(sight);
    }

    /// Returns the newest sights, encoded for a message, and drops the others.
    pub fn take(&self, now: Duration) -> Option<Vec<messages::Sight>> {
        let pending = self.pending.take();
        let fresh = pending.iter().rev().filter(|s| now < s.at + MAX_SIGHT_AGE);
        let reported: Vec<_> = fresh
            .take(MAX_SIGHTS_PER_MESSAGE)
            .map(|s| sight_of(now, s))
            .collect();
        (!reported.is_empty()).then_some(reported)
    }
}

impl<D> Traffic<D> {
    /// Records the load that an endpoint reported in an answer.
    pub fn record_load_report(&self, id: &str, placement: &Placement, read: &AnswerHead) {
        let Some(load) = read.load else {
            return;
        };
        let slowdown = load.slowdown.and_then(|reported| match reported {
            Ok(slowdown) => Some(slowdown),
            Err(fault) => {
                info!(self.log, "figure of a load passed over"; "id" => id,
                    "endpoint" => &placement.endpoint, "cause" => fault.0);
                None
            }
        });
        self.record_sight(Sight {
            endpoint: placement.incarnation,
            at: self.clock.now(),
            requests: Some(load.running.saturating_add(load.queued)),
            slowdown,
        });
    }

    /// Applies sights that another coordinator sent.
    pub fn apply_peer_sights(&self, sights: &[Sight]) {
        let mut state = self.state.borrow_mut();
        for sight in sights {
            state.balancer.observe(*sight);
        }
    }

    /// Applies sights from a gateway that queries this coordinator, and queues those that matter to the other
    /// coordinators.
    pub fn apply_reported_sights(&self, sights: Option<&Vec<messages::Sight>>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        for sight in sights.into_iter().flatten() {
            let sight = received_sight(now, sight);
            if state.balancer.observe(sight) {
                state.tally.sights.push(sight);
            }
        }
    }

    fn record_sight(&self, sight: Sight) {
        let mut state = self.state.borrow_mut();
        if !state.fleet.decides {
            self.pending_sights.push(sight);
        } else if state.balancer.observe(sight) {
            state.tally.sights.push(sight);
        }
    }
}

/// Encodes a sight for a message.
pub(crate) fn sight_of(now: Duration, sight: &Sight) -> messages::Sight {
    let age_ms = now.saturating_sub(sight.at).as_millis();
    messages::Sight {
        endpoint: sight.endpoint as i64,
        age_ms: age_ms.min(i32::MAX as u128) as i32,
        requests: sight
            .requests
            .map(|count| count.min(i32::MAX as u32) as i32),
        slowdown_percent: sight.slowdown.map(|slowdown| slowdown.percent() as i32),
    }
}

/// Decodes a sight; an invalid slowdown is left out.
pub(crate) fn received_sight(now: Duration, reported: &messages::Sight) -> Sight {
    let age = Duration::from_millis(reported.age_ms.max(0) as u64);
    Sight {
        endpoint: reported.endpoint as u64,
        at: now.saturating_sub(age),
        requests: reported.requests.map(|count| count.max(0) as u32),
        slowdown: slowdown_of(reported.slowdown_percent),
    }
}

/// Decodes a slowdown; `None` if it is missing or invalid.
pub(crate) fn slowdown_of(percent: Option<i32>) -> Option<Slowdown> {
    Slowdown::from_percent(u32::try_from(percent?).ok()?)
}
