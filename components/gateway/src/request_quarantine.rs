//! Quarantine of requests that end their endpoints, on the traffic thread.

use std::collections::BTreeSet;
use std::time::Duration;

use errors::Kind;
use quarantine::{EndedRun, Fingerprint, Held, HeldParts, Observation, PartsVerdict};
use slog::{info, warn};
use telemetry::Counter;

use crate::answer::Refusal;
use crate::job::{Job, Progress};
use crate::traffic::Traffic;

impl<D> Traffic<D> {
    /// Returns the refusal of a job whose content or prompt parts are quarantined. Its retry delay is the time for which an
    /// earlier retry is refused as well.
    pub fn quarantine_refusal(&self, job: &Job, progress: &Progress) -> Option<Refusal> {
        let remaining = self.content_hold(job);
        let retry_after = remaining.or_else(|| self.parts_hold(job, progress))?;
        let message = "the endpoints that ran this request ended";
        self.metrics.count(Counter::QuarantineRefused);
        Some(match progress.maybe_run {
            true => Refusal::maybe_run(Kind::EndpointFailed, message),
            false => Refusal::not_run(Kind::Quarantined, message).with_retry_after(retry_after),
        })
    }

    fn content_hold(&self, job: &Job) -> Option<Duration> {
        let now = self.clock.now();
        let state = self.state.borrow();
        state.quarantine.remaining_hold(now, job.content)
    }

    // Time after which a job may be retried whose prompt parts are held back. Only gateways that decide for others try such
    // parts, since there are few of them.
    fn parts_hold(&self, job: &Job, progress: &Progress) -> Option<Duration> {
        if job.is_trial.get() {
            return None;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let may_try = state.fleet.decides && progress.sent == 0;
        let trying_gateways = may_try.then_some(state.fleet.decider_count as u64);
        let verdict = state
            .quarantine
            .parts
            .check(now, &job.shared_parts, trying_gateways);
        drop(state);
        match verdict {
            PartsVerdict::Allowed => None,
            PartsVerdict::Trial => {
                job.is_trial.set(true);
                info!(self.log, "quarantined prompt parts tried"; "id" => &job.head.id, "parts" => job.logged_parts());
                None
            }
            PartsVerdict::Held { retry_after } => {
                info!(self.log, "prompt parts are quarantined"; "id" => &job.head.id, "parts" => job.logged_parts(),
                    "retry_after_ms" => retry_after.as_millis() as u64);
                Some(retry_after)
            }
        }
    }

    /// Whether a job must not be sent. Checked last before it is sent.
    pub fn is_quarantined(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let are_parts_held = || state.quarantine.parts.is_held(now, &job.shared_parts);
        state.quarantine.remaining_hold(now, job.content).is_some()
            || (!job.is_trial.get() && are_parts_held())
    }

    /// Whether the quarantine allows an interrupted job to be sent again.
    pub fn quarantine_allows_retry(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        !job.is_trial.get()
            && state.quarantine.can_retry(now, job.content)
            && state.quarantine.parts.can_retry(now, &job.shared_parts)
    }

    /// Records that an endpoint ended while it ran a job.
    pub fn record_endpoint_end(&self, run: EndedRun) {
        self.record_and_report(Observation::Ended(run), true);
    }

    /// Records that a job ran to its end.
    pub fn record_completed(&self, job: &Job) {
        self.record_and_report(Observation::Completed(job.content), false);
        self.record_answer_begun(job);
    }

    /// Records that an endpoint went on after it had begun to write the answer of a job.
    pub fn record_answer_begun(&self, job: &Job) {
        let now = self.clock.now();
        let parts = {
            let mut state = self.state.borrow_mut();
            let parts = &mut state.quarantine.parts;
            parts.record_sound(now, &job.shared_parts);
            let shared = job.shared_parts.iter().copied();
            let of_interest = shared.filter(|part| parts.is_of_interest(now, *part));
            of_interest.collect::<Vec<_>>()
        };
        if !parts.is_empty() {
            self.record_and_report(Observation::Begun(parts), true);
        }
    }

    // Records an observation and reports it, if it is news. Other gateways may get a like request next, so they are notified
    // at once where that matters.
    fn record_and_report(&self, observation: Observation, is_urgent: bool) {
        if !self.record_observation(&observation) {
            return;
        }
        self.state.borrow_mut().tally.observations.push(observation);
        if is_urgent {
            self.send_tally();
        }
    }

    /// Merges observations of other gateways.
    pub fn merge_observations(&self, observations: &[Observation]) {
        for observation in observations {
            self.record_observation(observation);
        }
    }

    fn record_observation(&self, observation: &Observation) -> bool {
        let now = self.clock.now();
        let content = match observation {
            Observation::Ended(run) => Some(run.content),
            Observation::Completed(content) => Some(*content),
            Observation::Begun(_) => None,
        };
        self.apply_parts_change(now, |quarantine| match content {
            Some(content) => self.apply_change(now, quarantine, content, |quarantine| {
                quarantine.record(now, observation)
            }),
            None => quarantine.record(now, observation),
        })
    }

    /// Merges the quarantined contents of other gateways.
    pub fn merge_held(&self, held: &[Held]) {
        let now = self.clock.now();
        for held in held {
            let quarantine = &mut self.state.borrow_mut().quarantine;
            self.apply_change(now, quarantine, held.content, |quarantine| {
                quarantine.merge_held(now, *held)
            });
        }
    }

    /// Merges the quarantined prompt parts of other gateways.
    pub fn merge_held_parts(&self, held: &[HeldParts]) {
        let now = self.clock.now();
        for held in held {
            self.apply_parts_change(now, |quarantine| quarantine.parts.merge_held(now, held));
        }
    }

    // Applies a change to the quarantine and logs the prompt parts that it quarantines or releases.
    fn apply_parts_change(
        &self,
        now: Duration,
        change: impl FnOnce(&mut quarantine::Quarantine) -> bool,
    ) -> bool {
        let quarantine = &mut self.state.borrow_mut().quarantine;
        let change_count = quarantine.parts.change_count();
        let groups = |quarantine: &quarantine::Quarantine| -> BTreeSet<Vec<Fingerprint>> {
            let groups = quarantine.parts.held_groups(now);
            groups.map(<[Fingerprint]>::to_vec).collect()
        };
        let before = groups(quarantine);
        let is_news = change(quarantine);
        if quarantine.parts.change_count() == change_count {
            return is_news;
        }
        let after = groups(quarantine);
        for group in after.difference(&before) {
            self.metrics.count(Counter::Quarantined);
            let ends = group.iter().map(|part| quarantine.parts.count_ends(*part));
            warn!(self.log, "prompt parts quarantined"; "parts" => logged(group), "ends" => ends.max());
        }
        for group in before.difference(&after) {
            info!(self.log, "prompt parts let go"; "parts" => logged(group));
        }
        is_news
    }

    // Applies a change to the quarantine and logs when it quarantines or releases the content.
    fn apply_change(
        &self,
        now: Duration,
        quarantine: &mut quarantine::Quarantine,
        content: Fingerprint,
        change: impl FnOnce(&mut quarantine::Quarantine) -> bool,
    ) -> bool {
        let before = quarantine.remaining_hold(now, content);
        let changed = change(quarantine);
        let after = quarantine.remaining_hold(now, content);
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

fn logged(parts: &[Fingerprint]) -> String {
    let parts: Vec<String> = parts.iter().map(Fingerprint::to_string).collect();
    parts.join(",")
}
