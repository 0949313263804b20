//! Requests that end their endpoints, as the traffic thread meets them.

use std::time::Duration;

use errors::Kind;
use quarantine::{Fingerprint, Held, Observation};
use slog::{info, warn};
use telemetry::Counter;

use crate::answer::Refusal;
use crate::job::{Job, Progress};
use crate::traffic::Traffic;

impl<D> Traffic<D> {
    /// Why a job is sent to no endpoint, if its content is held back. Callers are told the whole time: a try before its end
    /// is refused as well.
    pub fn quarantine_refusal(&self, job: &Job, progress: &Progress) -> Option<Refusal> {
        let now = self.clock.now();
        let left = {
            let state = self.state.borrow();
            state.quarantine.remaining_hold(now, job.content)?
        };
        let message = "the endpoints that ran this request ended";
        self.metrics.count(Counter::QuarantineRefused);
        Some(match progress.maybe_run {
            true => Refusal::maybe_run(Kind::EndpointFailed, message),
            false => Refusal::not_run(Kind::Quarantined, message).with_retry_after(left),
        })
    }

    /// Whether a job that was cut off may be sent on, as far as its content goes.
    pub fn quarantine_allows_retry(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        state.quarantine.can_retry(now, job.content)
    }

    /// An endpoint ended while it ran a content.
    pub fn record_endpoint_end(&self, content: Fingerprint, incarnation: u64) {
        let observation = Observation::Ended {
            content,
            endpoint: incarnation,
        };
        if self.record_observation(observation) {
            self.state.borrow_mut().tally.observations.push(observation);
            // The next gateway that is asked for the same has to know.
            self.send_tally();
        }
    }

    /// A job ran to its end.
    pub fn record_completed(&self, job: &Job) {
        let observation = Observation::Completed(job.content);
        if self.record_observation(observation) {
            self.state.borrow_mut().tally.observations.push(observation);
        }
    }

    /// Takes what other gateways saw.
    pub fn merge_observations(&self, observations: &[Observation]) {
        for observation in observations {
            self.record_observation(*observation);
        }
    }

    fn record_observation(&self, observation: Observation) -> bool {
        let now = self.clock.now();
        let (Observation::Ended { content, .. } | Observation::Completed(content)) = observation;
        self.change(now, content, |quarantine| {
            quarantine.record(now, observation)
        })
    }

    /// Takes what others hold back.
    pub fn merge_held(&self, held: &[Held]) {
        let now = self.clock.now();
        for held in held {
            self.change(now, held.content, |quarantine| {
                quarantine.merge_held(now, *held)
            });
        }
    }

    // Changes the quarantine, and says what it does to a content.
    fn change(
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
            (None, Some(left)) => {
                self.metrics.count(Counter::Quarantined);
                warn!(self.log, "request quarantined"; "content" => %content, "for_s" => left.as_secs());
            }
            (Some(_), None) => info!(self.log, "request let go"; "content" => %content),
            _ => {}
        }
        changed
    }
}
