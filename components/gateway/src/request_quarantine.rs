//! Quarantine of requests that end their endpoints, on the traffic thread.

use std::time::Duration;

use errors::Kind;
use quarantine::{Fingerprint, Held, Observation};
use slog::{info, warn};
use telemetry::Counter;

use crate::answer::Refusal;
use crate::job::{Job, Progress};
use crate::traffic::Traffic;

impl<D> Traffic<D> {
    /// Returns the refusal of a job whose content is quarantined. Its retry delay is the whole remaining hold: an earlier
    /// retry is refused as well.
    pub fn quarantine_refusal(&self, job: &Job, progress: &Progress) -> Option<Refusal> {
        let now = self.clock.now();
        let remaining = {
            let state = self.state.borrow();
            state.quarantine.remaining_hold(now, job.content)?
        };
        let message = "the endpoints that ran this request ended";
        self.metrics.count(Counter::QuarantineRefused);
        Some(match progress.maybe_run {
            true => Refusal::maybe_run(Kind::EndpointFailed, message),
            false => Refusal::not_run(Kind::Quarantined, message).with_retry_after(remaining),
        })
    }

    /// Whether the quarantine allows an interrupted job to be sent again.
    pub fn quarantine_allows_retry(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        state.quarantine.can_retry(now, job.content)
    }

    /// Records that an endpoint ended while it ran a content.
    pub fn record_endpoint_end(&self, content: Fingerprint, incarnation: u64) {
        let observation = Observation::Ended {
            content,
            endpoint: incarnation,
        };
        if self.record_observation(observation) {
            self.state.borrow_mut().tally.observations.push(observation);
            // Other gateways may get the same content next, so they are notified now.
            self.send_tally();
        }
    }

    /// Records that a job ran to its end.
    pub fn record_completed(&self, job: &Job) {
        let observation = Observation::Completed(job.content);
        if self.record_observation(observation) {
            self.state.borrow_mut().tally.observations.push(observation);
        }
    }

    /// Merges observations of other gateways.
    pub fn merge_observations(&self, observations: &[Observation]) {
        for observation in observations {
            self.record_observation(*observation);
        }
    }

    fn record_observation(&self, observation: Observation) -> bool {
        let now = self.clock.now();
        let (Observation::Ended { content, .. } | Observation::Completed(content)) = observation;
        self.apply_change(now, content, |quarantine| {
            quarantine.record(now, observation)
        })
    }

    /// Merges the quarantined contents of other gateways.
    pub fn merge_held(&self, held: &[Held]) {
        let now = self.clock.now();
        for held in held {
            self.apply_change(now, held.content, |quarantine| {
                quarantine.merge_held(now, *held)
            });
        }
    }

    // Applies a change to the quarantine and logs when it quarantines or releases the content.
    fn apply_change(
        &self,
        now: Duration,
        content: Fingerprint,
        change: impl FnOnce(&mut quarantine::Quarantine) -> bool,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        let before = state.quarantine.remaining_hold(now, content);
        let changed = change(&mut state.quarantine);
        let after = state.quarantine.remaining_hold(now, content);
        match (before, after) {
            (None, Some(remaining)) => {
                self.metrics.count(Counter::Quarantined);
                warn!(self.log, "request quarantined"; "content" => %content, "for_s" => remaining.as_secs());
            }
            (Some(_), None) => info!(self.log, "request let go"; "content" => %content),
            _ => {}
        }
        changed
    }
}
