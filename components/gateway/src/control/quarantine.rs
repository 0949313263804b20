//! Exchange of the quarantine and of observations of contents that end their endpoints.
//!
//! Coordinators report each observation to each other; all other gateways receive only what is quarantined.

use std::collections::VecDeque;
use std::time::Duration;

use quarantine::{Fingerprint, Held, Observation};
use schema::messages::{ContentReport, Gossip, HeldContent};
use slog::warn;

use crate::control::{ControlState, Shared};
use crate::ports::{Orders, Store};
use crate::update::Update;

/// Count of messages in which each observation is sent, to compensate for lost ones.
const SENDS_PER_OBSERVATION: u8 = 3;
/// Upper limit of observations in one message, so that it fits into one datagram; each takes some 20 bytes.
const MAX_OBSERVATIONS: usize = 60;
/// Upper limit of queued observations; those that were already sent are dropped first. 100 endpoints that end
/// at once leave some 2,000 observations.
const MAX_WAITING: usize = 2048;
/// Upper limit of quarantined contents in one message; each takes some 30 bytes.
const MAX_HELD: usize = 16;

/// Observations that are to be sent to the other gateways.
#[derive(Debug, Default)]
pub(crate) struct ObservationQueue {
    waiting: VecDeque<(Observation, u8)>,
    has_new: bool,
}

impl ObservationQueue {
    /// Adds an observation.
    pub fn add(&mut self, observation: Observation) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_back();
        }
        // New observations go first: behind thousands of old ones they would arrive after the time within which
        // all gateways must know of them.
        self.waiting
            .push_front((observation, SENDS_PER_OBSERVATION));
        self.has_new = true;
    }

    /// Whether observations were added since the last call.
    pub fn take_has_new(&mut self) -> bool {
        std::mem::take(&mut self.has_new)
    }

    /// The observations for the next message; `None` if there are none.
    pub fn next(&mut self) -> Option<Vec<ContentReport>> {
        let count = self.waiting.len().min(MAX_OBSERVATIONS);
        let sent: Vec<_> = self.waiting.drain(..count).collect();
        let again = sent
            .iter()
            .filter(|(_, remaining_sends)| *remaining_sends > 1);
        self.waiting.extend(
            again.map(|(observation, remaining_sends)| (*observation, remaining_sends - 1)),
        );
        let reports = sent
            .iter()
            .map(|(observation, _)| reported_observation(*observation));
        (count > 0).then(|| reports.collect())
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Records observations of the traffic thread.
    pub fn record_own_observations(
        &self,
        state: &mut ControlState,
        observations: Vec<Observation>,
    ) {
        let now = self.clock.now();
        for observation in observations {
            if state.apply_observation(now, observation).changes_hold {
                self.urgent.notify_one();
            }
            state.observations.add(observation);
        }
    }

    /// Records another gateway's observations and quarantine.
    pub fn receive_contents(&self, gossip: &Gossip) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        // Coordinators report to all others themselves, so only observations of other gateways are passed on.
        let should_forward = gossip.coordinates == Some(false);
        let mut new_observations = Vec::new();
        let mut is_urgent = false;
        for reported in gossip.contents.iter().flatten() {
            let observation = received_observation(reported);
            let effect = state.apply_observation(now, observation);
            is_urgent |= effect.changes_hold;
            if effect.is_new {
                new_observations.push(observation);
                if should_forward {
                    state.observations.add(observation);
                }
            }
        }
        let held = gossip.held.iter().flatten().map(|held| received_held(held));
        let changed: Vec<Held> = held
            .filter(|held| state.quarantine.merge_held(now, *held))
            .collect();
        drop(state);
        if is_urgent || !changed.is_empty() {
            self.urgent.notify_one();
        }
        self.send_to_traffic(new_observations, changed);
    }

    pub(super) fn send_to_traffic(&self, observations: Vec<Observation>, held: Vec<Held>) {
        let updates = [
            (!observations.is_empty()).then_some(Update::Observations(observations)),
            (!held.is_empty()).then_some(Update::Held(held)),
        ];
        for update in updates.into_iter().flatten() {
            if self.updates.send(update).is_err() {
                warn!(
                    self.log,
                    "update not delivered; the traffic thread has ended"
                );
            }
        }
    }
}

// Effect of an observation.
struct ObservationEffect {
    is_new: bool,
    // Whether its content became quarantined, or is no longer.
    changes_hold: bool,
}

impl ControlState {
    fn apply_observation(&mut self, now: Duration, observation: Observation) -> ObservationEffect {
        let (Observation::Ended { content, .. } | Observation::Completed(content)) = observation;
        let was_held = self.quarantine.remaining_hold(now, content).is_some();
        let is_new = self.quarantine.record(now, observation);
        let is_held = self.quarantine.remaining_hold(now, content).is_some();
        ObservationEffect {
            is_new,
            changes_hold: is_held != was_held,
        }
    }

    /// Report of the quarantined contents; `None` if there are none.
    pub fn held_to_send(&self, now: Duration) -> Option<Vec<HeldContent>> {
        let turn = self.sending.turn();
        let held = self.quarantine.held_to_report(now, turn, MAX_HELD);
        let reports = held.iter().map(held_report);
        (!held.is_empty()).then(|| reports.collect())
    }
}

fn reported_observation(observation: Observation) -> ContentReport {
    match observation {
        Observation::Ended { content, endpoint } => {
            ContentReport::new(content.0 as i64, Some(endpoint as i64))
        }
        Observation::Completed(content) => ContentReport::new(content.0 as i64, None),
    }
}

fn received_observation(reported: &ContentReport) -> Observation {
    let content = Fingerprint(reported.content as u64);
    match reported.ended {
        Some(endpoint) => Observation::Ended {
            content,
            endpoint: endpoint as u64,
        },
        None => Observation::Completed(content),
    }
}

fn held_report(held: &Held) -> HeldContent {
    let left_ms = held.remaining.as_millis().min(i64::MAX as u128) as i64;
    HeldContent::new(held.content.0 as i64, left_ms, reported_hold_count(held))
}

fn received_held(reported: &HeldContent) -> Held {
    Held {
        content: Fingerprint(reported.content as u64),
        remaining: Duration::from_millis(reported.left_ms.max(0) as u64),
        hold_count: reported.times.max(1) as u32,
    }
}

/// How often a content was quarantined, for a report.
pub(super) fn reported_hold_count(held: &Held) -> i32 {
    held.hold_count.min(i32::MAX as u32) as i32
}
