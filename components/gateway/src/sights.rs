//! What answers show of endpoints, and who is told: a gateway that places requests keeps it on its board and tells the others
//! that do; any other gateway tells the coordinator that it asks.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use routing::placement::{Placement, Sight, Slowdown};
use schema::messages;
use slog::info;

use crate::ports::AnswerHead;
use crate::traffic::Traffic;

/// Sights that wait for the next query; the oldest give way.
const MOST_WAITING: usize = 32;
/// Sights told in one message, some 20 bytes each, so that a query stays one small datagram.
pub(crate) const MOST_TOLD: usize = 16;
/// Older ones are not told: the endpoint's machine has other work by then.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Sights that were not told yet.
#[derive(Debug, Default)]
pub(crate) struct Sights {
    waiting: RefCell<VecDeque<Sight>>,
}

impl Sights {
    fn push(&self, sight: Sight) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() == MOST_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(sight);
    }

    /// The newest ones, as they are told; none of the others is told later.
    pub fn take(&self, now: Duration) -> Option<Vec<messages::Sight>> {
        let waiting = self.waiting.take();
        let fresh = waiting.iter().rev().filter(|s| now < s.at + LONGEST_WAIT);
        let told: Vec<_> = fresh.take(MOST_TOLD).map(|s| sight_of(now, s)).collect();
        (!told.is_empty()).then_some(told)
    }
}

impl<D> Traffic<D> {
    /// Takes the load of an endpoint, as an answer of it told.
    pub fn see_load(&self, id: &str, placement: &Placement, read: &AnswerHead) {
        let Some(load) = read.load else {
            return;
        };
        let slowdown = load.slowdown.and_then(|told| match told {
            Ok(slowdown) => Some(slowdown),
            Err(fault) => {
                info!(self.log, "figure of a load passed over"; "id" => id,
                    "endpoint" => &placement.endpoint, "cause" => fault.0);
                None
            }
        });
        self.see(Sight {
            endpoint: placement.incarnation,
            at: self.clock.now(),
            requests: Some(load.running.saturating_add(load.queued)),
            slowdown,
        });
    }

    /// Takes what other gateways saw.
    pub fn take_sights(&self, sights: &[Sight]) {
        let mut state = self.state.borrow_mut();
        for sight in sights {
            state.board.observe(*sight);
        }
    }

    /// Takes what a gateway that asks this one saw, and passes on what others would choose otherwise by.
    pub fn take_told(&self, sights: Option<&Vec<messages::Sight>>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        for sight in sights.into_iter().flatten() {
            let sight = received_sight(now, sight);
            if state.board.observe(sight) {
                state.tally.sights.push(sight);
            }
        }
    }

    fn see(&self, sight: Sight) {
        let mut state = self.state.borrow_mut();
        if !state.fleet.decides {
            self.sights.push(sight);
        } else if state.board.observe(sight) {
            state.tally.sights.push(sight);
        }
    }
}

/// A sight as it is told.
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

/// A sight as it was heard. A figure that cannot be one is passed over.
pub(crate) fn received_sight(now: Duration, told: &messages::Sight) -> Sight {
    let age = Duration::from_millis(told.age_ms.max(0) as u64);
    Sight {
        endpoint: told.endpoint as u64,
        at: now.saturating_sub(age),
        requests: told.requests.map(|count| count.max(0) as u32),
        slowdown: slowdown_of(told.slowdown_percent),
    }
}

/// A slowdown as it was heard, if it can be one.
pub(crate) fn slowdown_of(percent: Option<i32>) -> Option<Slowdown> {
    Slowdown::from_percent(u32::try_from(percent?).ok()?)
}
