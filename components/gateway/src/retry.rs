//! Sends a request to endpoints until one answers it or no retry is allowed.

use std::rc::Rc;
use std::time::Duration;

use errors::Kind;
use routing::placement::Placement;

use crate::admission::unconfirmed_refusal;
use crate::answer::Refusal;
use crate::attempt::{AttemptOutcome, EndpointAnswer, SendOptions};
use crate::freshness::MaxAges;
use crate::handler::stopping_refusal;
use crate::job::{Job, Progress, SharedJob};
use crate::placing::NoPlacement;
use crate::ports::Dialect;
use crate::retry_permit::RetryPermit;
use crate::traffic::Traffic;

/// Retry delay for the caller when endpoints have no room.
const NO_ROOM_RETRY: Duration = Duration::from_millis(150);
/// Cause of a refusal that no caller reads.
pub(crate) const CALLER_LEFT: &str = "the caller has left";
/// Number of attempts that reach no endpoint after which a request fails.
const MAX_UNSENT: usize = 4;
/// An attempt of a repeatable request that has another attempt left times out after this many times the target latency.
const ATTEMPT_TIMEOUT_TARGETS: u32 = 2;

impl<D: Dialect + 'static> Traffic<D> {
    /// Runs attempts until one is answered; returns the refusal if none is.
    pub async fn run_attempts(
        self: &Rc<Self>,
        job: &SharedJob,
        progress: &mut Progress,
        mut placed: Option<Placement>,
    ) -> Result<EndpointAnswer<D>, Refusal> {
        let mut unsent = 0;
        let mut options = SendOptions::default();
        loop {
            let placement = match placed.take() {
                Some(placement) => placement,
                None => match self.find_endpoint(job, progress).await {
                    Ok(placement) => placement,
                    Err(_) if self.is_too_late_before_stop(job, progress) => {
                        return Err(stopping_refusal())
                    }
                    Err(no_placement) => return Err(no_endpoint_refusal(progress, no_placement)),
                },
            };
            // Its content may have been quarantined in the meantime.
            if let Some(refusal) = self.quarantine_refusal(job, progress) {
                return Err(refusal);
            }
            if let Some(refusal) = self.expired_refusal(job, progress) {
                return Err(refusal);
            }
            if !self.is_accepting_requests(&placement) {
                // A coordinator that chooses it again knows no other endpoint.
                if progress.tried.contains(&placement.endpoint) {
                    return Err(no_endpoint_refusal(progress, NoPlacement::NO_ENDPOINT));
                }
                progress.tried.push(placement.endpoint);
                continue;
            }
            let Some(grant) = self.obtain_grant(job, progress, &placement).await else {
                continue;
            };
            options.grant = grant;
            self.log_placed(job, &placement);
            let expiry = self.attempt_expiry(job, progress);
            progress.sent += 1;
            let attempt = self.attempt_unless_restarted(job, &placement, options.clone());
            let result = tokio::select! {
                biased;
                result = self.clock.timeout_at(expiry, attempt) => result,
                () = self.drain_ended.notified() => return Err(unfinished_refusal()),
            };
            progress.tried.push(placement.endpoint.clone());
            let lost_cause = match result {
                Ok(AttemptOutcome::Answered(answer)) => return Ok(answer),
                Ok(AttemptOutcome::NotSent) => {
                    self.log_not_sent(job, &placement);
                    progress.sent -= 1;
                    unsent += 1;
                    if unsent >= MAX_UNSENT || self.clock.now() >= job.expiry {
                        return Err(no_endpoint_refusal(progress, NoPlacement::NO_ENDPOINT));
                    }
                    continue;
                }
                Ok(AttemptOutcome::NotRun) => None,
                Ok(AttemptOutcome::Lost(cause)) => Some(cause),
                Err(_) => {
                    options.after_unresponsive = true;
                    Some("the endpoint gave no answer in time")
                }
                Ok(AttemptOutcome::Failed { head, body }) => {
                    options.permit = self.take_retry_if_allowed(job, progress, true);
                    if options.permit.is_none() {
                        return Ok(EndpointAnswer::Whole { head, body });
                    }
                    // An endpoint that answers with a failure has run the request, so no later refusal may say that it
                    // didn't run.
                    progress.maybe_run = true;
                    continue;
                }
            };
            progress.maybe_run |= lost_cause.is_some();
            options.permit = self.take_retry_if_allowed(job, progress, lost_cause.is_some());
            if options.permit.is_none() {
                return Err(self.failure_refusal(job, progress, lost_cause));
            }
        }
    }

    // Returns the refusal of a job whose caller has left, whose deadline has passed or whose key can no longer be used: the VM may have been frozen
    // or suspended since the job was admitted.
    fn expired_refusal(&self, job: &Job, progress: &Progress) -> Option<Refusal> {
        if self.is_too_late_before_stop(job, progress) {
            return Some(stopping_refusal());
        }
        if self.can_still_send(job) {
            return None;
        }
        if job.caller.has_left() {
            return Some(match progress.maybe_run {
                true => Refusal::maybe_run(Kind::EndpointFailed, CALLER_LEFT),
                false => Refusal::not_run(Kind::Overloaded, CALLER_LEFT),
            });
        }
        Some(match (progress.maybe_run, self.clock.now() >= job.expiry) {
            (true, true) => Refusal::maybe_run(Kind::DeadlinePassed, "late"),
            (true, false) => Refusal::maybe_run(Kind::EndpointFailed, "not sent on"),
            (false, true) => {
                let message = "the time was over before it was sent";
                Refusal::not_run(Kind::Overloaded, message).with_retry_after(NO_ROOM_RETRY)
            }
            (false, false) => unconfirmed_refusal(),
        })
    }

    /// Whether a job's caller still waits for it, its deadline hasn't passed, its key can be used now and it isn't quarantined.
    /// Checked last before the job is sent.
    pub fn can_still_send(&self, job: &Job) -> bool {
        if job.caller.has_left() {
            return false;
        }
        let now = self.clock.now();
        let ages = MaxAges::of(&self.state.borrow().settings);
        let can_use_key = !job.needs_key || self.freshness.allows_keys(now, ages.keys);
        now < job.expiry && can_use_key && !self.is_quarantined(job)
    }

    // Takes a retry from the budget if a job can be sent again.
    fn take_retry_if_allowed(
        &self,
        job: &Job,
        progress: &Progress,
        has_run: bool,
    ) -> Option<Rc<RetryPermit>> {
        let is_allowed = job.route.execution.is_repeatable() || (!has_run && !progress.maybe_run);
        let can_retry = is_allowed
            && job.body.is_kept()
            && progress.sent < job.route.max_attempts
            && self.clock.now() < job.expiry
            && self.quarantine_allows_retry(job);
        can_retry.then(|| self.take_retry(job)).flatten()
    }

    // When an attempt times out. A repeatable request with another attempt left doesn't wait until its deadline.
    fn attempt_expiry(&self, job: &Job, progress: &Progress) -> Duration {
        let is_repeatable = job.route.execution.is_repeatable();
        if is_repeatable && progress.sent + 1 < job.route.max_attempts {
            let timeout_at = self.clock.now() + job.route.target * ATTEMPT_TIMEOUT_TARGETS;
            return timeout_at.min(job.expiry);
        }
        job.expiry
    }

    fn failure_refusal(&self, job: &Job, progress: &Progress, cause: Option<&str>) -> Refusal {
        let out_of_time = self.clock.now() >= job.expiry;
        match (progress.maybe_run, out_of_time) {
            (true, true) => Refusal::maybe_run(Kind::DeadlinePassed, cause.unwrap_or("late")),
            (true, false) => Refusal::maybe_run(Kind::EndpointFailed, cause.unwrap_or("lost")),
            (false, _) => {
                let pause = self.remaining_pause(job, progress);
                let service = &job.work.service;
                let wait =
                    pause.map_or(NO_ROOM_RETRY, |left| self.pause_refusal(service, left).wait);
                Refusal::not_run(Kind::Overloaded, "the endpoint has no room")
                    .with_retry_after(wait)
            }
        }
    }
}

impl<D> Traffic<D> {
    /// Whether a job that has not run is left to another gateway: this one stops, accepts no more requests, and may end before
    /// the job has an answer.
    pub fn is_too_late_before_stop(&self, job: &Job, progress: &Progress) -> bool {
        let is_closed = self.freshness.is_closed(self.clock.now());
        let is_past_end = self
            .drain_deadline()
            .is_some_and(|deadline| job.expiry > deadline);
        is_closed && is_past_end && !progress.maybe_run
    }

    /// Time until which a planned stop waits for the answers of endpoints; `None` unless a stop was requested.
    pub fn drain_deadline(&self) -> Option<Duration> {
        let grace_ms = self.state.borrow().settings.stop_grace_ms;
        let grace = Duration::from_millis(grace_ms.max(0) as u64);
        self.freshness.drain_deadline(grace)
    }
}

// The gateway ends before the endpoint has answered.
fn unfinished_refusal() -> Refusal {
    let message = "the gateway stops before the endpoint has answered";
    Refusal::maybe_run(Kind::EndpointFailed, message).closing_connection()
}

fn no_endpoint_refusal(progress: &Progress, no_placement: NoPlacement) -> Refusal {
    match progress.maybe_run {
        true => Refusal::maybe_run(Kind::EndpointFailed, "no other endpoint takes work"),
        false => Refusal::not_run(Kind::NoEndpoint, no_placement.cause)
            .with_retry_after(no_placement.wait),
    }
}
