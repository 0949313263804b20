//! Exchange of the quarantine and of observations of contents that end their endpoints.
//!
//! Coordinators report each observation to each other; all other gateways receive only what is quarantined.

use std::collections::VecDeque;
use std::time::Duration;

use quarantine::{EndedRun, Fingerprint, Held, HeldParts, Observation};
use schema::messages::{self, ContentReport, Gossip, HeldContent};
use slog::warn;

use crate::control::{ControlState, Shared};
use crate::ports::{Orders, Store};
use crate::update::Update;

/// Count of messages in which each observation is sent, to compensate for lost ones.
const SENDS_PER_OBSERVATION: u8 = 3;
/// Upper limit of the fingerprints in the observations of one message, so that it fits into one datagram; each takes some 10
/// bytes.
const MAX_FINGERPRINTS: usize = 120;
/// Upper limit of queued observations; those that were already sent are dropped first. 100 endpoints that end
/// at once leave some 2,000 observations.
const MAX_WAITING: usize = 2048;
/// Upper limit of quarantined contents in one message; each takes some 30 bytes.
const MAX_HELD: usize = 16;
/// Upper limit of suspect prompt parts in one message; each takes some 10 bytes.
const MAX_SUSPECTS: usize = 32;
/// Upper limit of groups of quarantined prompt parts in one message; each takes 30 to 190 bytes.
const MAX_HELD_PARTS: usize = 8;

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
        let mut fingerprints = 0;
        let fits = |(observation, _): &&(Observation, u8)| {
            fingerprints += count_fingerprints(observation);
            fingerprints <= MAX_FINGERPRINTS
        };
        let count = self.waiting.iter().take_while(fits).count();
        let sent: Vec<_> = self.waiting.drain(..count).collect();
        let again = sent
            .iter()
            .filter(|(_, remaining_sends)| *remaining_sends > 1);
        self.waiting.extend(
            again.map(|(observation, remaining_sends)| (observation.clone(), remaining_sends - 1)),
        );
        let reports = sent
            .iter()
            .map(|(observation, _)| reported_observation(observation));
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
            if state.apply_observation(now, &observation).changes_hold {
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
            let effect = state.apply_observation(now, &observation);
            is_urgent |= effect.changes_hold;
            if effect.is_new {
                if should_forward {
                    state.observations.add(observation.clone());
                }
                new_observations.push(observation);
            }
        }
        let held = gossip.held.iter().flatten().map(|held| received_held(held));
        let changed: Vec<Held> = held
            .filter(|held| state.quarantine.merge_held(now, *held))
            .collect();
        let held_parts = gossip.held_parts.iter().flatten();
        let changed_parts = state.merge_held_parts(now, held_parts.map(|h| received_held_parts(h)));
        let suspects = gossip.suspect_parts.as_deref().map(received_fingerprints);
        if let Some(suspects) = &suspects {
            state.quarantine.parts.watch(now, suspects);
        }
        drop(state);
        if let Some(suspects) = suspects {
            self.update(Update::SuspectParts(suspects));
        }
        if is_urgent || !changed.is_empty() || !changed_parts.is_empty() {
            self.urgent.notify_one();
        }
        self.send_to_traffic(new_observations, changed, changed_parts);
    }

    pub(super) fn send_to_traffic(
        &self,
        observations: Vec<Observation>,
        held: Vec<Held>,
        held_parts: Vec<HeldParts>,
    ) {
        let updates = [
            (!observations.is_empty()).then_some(Update::Observations(observations)),
            (!held.is_empty()).then_some(Update::Held(held)),
            (!held_parts.is_empty()).then_some(Update::HeldParts(held_parts)),
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
    fn apply_observation(&mut self, now: Duration, observation: &Observation) -> ObservationEffect {
        let before = self.hold_state(now, observation);
        let is_new = self.quarantine.record(now, observation);
        ObservationEffect {
            is_new,
            changes_hold: self.hold_state(now, observation) != before,
        }
    }

    // Whether the observed content is held back, and the number of changes of held parts.
    fn hold_state(&self, now: Duration, observation: &Observation) -> (bool, u64) {
        let content = match observation {
            Observation::Ended(run) => Some(run.content),
            Observation::Completed(content) => Some(*content),
            Observation::Begun(_) => None,
        };
        let hold = content.and_then(|content| self.quarantine.remaining_hold(now, content));
        (hold.is_some(), self.quarantine.parts.change_count())
    }

    /// Merges quarantined prompt parts that another gateway reported or the store keeps, and returns those that were news.
    pub(super) fn merge_held_parts(
        &mut self,
        now: Duration,
        held: impl Iterator<Item = HeldParts>,
    ) -> Vec<HeldParts> {
        held.filter(|held| self.quarantine.parts.merge_held(now, held))
            .collect()
    }

    /// Prompt parts that this gateway suspects; `None` if there are none.
    pub fn suspect_parts_to_send(&self) -> Option<Vec<i64>> {
        let suspects = self.quarantine.parts.suspects(MAX_SUSPECTS);
        (!suspects.is_empty()).then(|| reported_fingerprints(&suspects))
    }

    /// Report of the quarantined prompt parts; `None` if there are none.
    pub fn held_parts_to_send(&self, now: Duration) -> Option<Vec<messages::HeldParts>> {
        let turn = self.sending.turn();
        let parts = &self.quarantine.parts;
        let held = parts.held_to_report(now, turn, MAX_HELD_PARTS);
        (!held.is_empty()).then(|| held.iter().map(held_parts_report).collect())
    }

    /// Report of the quarantined contents; `None` if there are none.
    pub fn held_to_send(&self, now: Duration) -> Option<Vec<HeldContent>> {
        let turn = self.sending.turn();
        let held = self.quarantine.held_to_report(now, turn, MAX_HELD);
        let reports = held.iter().map(held_report);
        (!held.is_empty()).then(|| reports.collect())
    }
}

fn count_fingerprints(observation: &Observation) -> usize {
    match observation {
        Observation::Ended(run) => 2 + run.parts.len(),
        Observation::Completed(_) => 1,
        Observation::Begun(parts) => parts.len(),
    }
}

fn reported_observation(observation: &Observation) -> ContentReport {
    match observation {
        Observation::Ended(run) => ContentReport {
            content: run.content.0 as i64,
            ended: Some(run.endpoint as i64),
            parts: (!run.parts.is_empty()).then(|| reported_fingerprints(&run.parts)),
            ran_ms: Some(run.ran_for.as_millis() as i64),
            is_trial: run.is_trial.then_some(true),
        },
        Observation::Completed(content) => {
            ContentReport::new(content.0 as i64, None, None, None, None)
        }
        Observation::Begun(parts) => {
            ContentReport::new(0, None, reported_fingerprints(parts), None, None)
        }
    }
}

fn received_observation(reported: &ContentReport) -> Observation {
    let content = Fingerprint(reported.content as u64);
    let parts = reported.parts.as_deref().map(received_fingerprints);
    match (reported.ended, parts) {
        (Some(endpoint), parts) => Observation::Ended(EndedRun {
            content,
            endpoint: endpoint as u64,
            parts: parts.unwrap_or_default(),
            ran_for: Duration::from_millis(reported.ran_ms.unwrap_or(0).max(0) as u64),
            is_trial: reported.is_trial == Some(true),
        }),
        (None, Some(parts)) => Observation::Begun(parts),
        (None, None) => Observation::Completed(content),
    }
}

/// Fingerprints as the schema has them.
pub(super) fn reported_fingerprints(fingerprints: &[Fingerprint]) -> Vec<i64> {
    fingerprints.iter().map(|part| part.0 as i64).collect()
}

/// Fingerprints of a message or row.
pub(super) fn received_fingerprints(reported: &[i64]) -> Vec<Fingerprint> {
    let fingerprints = reported.iter().map(|part| Fingerprint(*part as u64));
    fingerprints.collect()
}

/// A count as the schema has it.
pub(super) fn reported_count(count: u32) -> i32 {
    count.min(i32::MAX as u32) as i32
}

fn held_parts_report(held: &HeldParts) -> messages::HeldParts {
    messages::HeldParts {
        parts: reported_fingerprints(&held.parts),
        left_ms: held.remaining.as_millis().min(i64::MAX as u128) as i64,
        times: reported_count(held.hold_count),
        failed_trials: reported_count(held.failed_trials),
    }
}

fn received_held_parts(reported: &messages::HeldParts) -> HeldParts {
    HeldParts {
        parts: received_fingerprints(&reported.parts),
        remaining: Duration::from_millis(reported.left_ms.max(0) as u64),
        hold_count: reported.times.max(1) as u32,
        failed_trials: reported.failed_trials.max(0) as u32,
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
    reported_count(held.hold_count)
}
