//! Sending a request to endpoints until one answers it or it may not be sent again.

use std::rc::Rc;
use std::time::Duration;

use errors::Kind;
use routing::placement::Placement;

use crate::admission::unconfirmed_refusal;
use crate::answer::Refusal;
use crate::attempt::{AttemptOutcome, EndpointAnswer, SendOptions};
use crate::freshness::Ages;
use crate::job::{Job, Progress, SharedJob};
use crate::placing::Nowhere;
use crate::ports::Dialect;
use crate::traffic::Traffic;

/// Time to come back when endpoints have no room.
const NO_ROOM_RETRY: Duration = Duration::from_millis(150);
/// Attempts that reached no endpoint, after which a request is given up.
const MOST_UNSENT: usize = 4;
/// A first attempt of a repeatable request is waited for at most this many times its target.
const PATIENCE_TARGETS: u32 = 2;

impl<D: Dialect + 'static> Traffic<D> {
    /// Runs attempts until one is answered, or says why none is.
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
                None => match self.find(job, progress).await {
                    Ok(placement) => placement,
                    Err(nowhere) => return Err(refused(progress, nowhere)),
                },
            };
            // Word of it may have come meanwhile.
            if let Some(refusal) = self.quarantine_refusal(job, progress) {
                return Err(refusal);
            }
            if let Some(refusal) = self.overtaken(job, progress) {
                return Err(refusal);
            }
            if !self.is_wanted(&placement) {
                // A coordinator that names it again has no other one.
                if progress.tried.contains(&placement.endpoint) {
                    return Err(refused(progress, Nowhere::NO_ENDPOINT));
                }
                progress.tried.push(placement.endpoint);
                continue;
            }
            let Some(grant) = self.grant(job, progress, &placement).await else {
                continue;
            };
            options.grant = grant;
            self.log_placed(job, &placement);
            let expiry = self.attempt_expiry(job, progress);
            progress.sent += 1;
            let attempt = self.attempt_unless_restarted(job, &placement, options);
            let attempted = self.clock.timeout_at(expiry, attempt).await;
            progress.tried.push(placement.endpoint.clone());
            let outcome = match attempted {
                Ok(AttemptOutcome::Answered(reply)) => return Ok(reply),
                Ok(AttemptOutcome::NotSent) => {
                    progress.sent -= 1;
                    unsent += 1;
                    if unsent >= MOST_UNSENT || self.clock.now() >= job.expiry {
                        return Err(refused(progress, Nowhere::NO_ENDPOINT));
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
                    if !self.may_send_again(job, progress, true) {
                        return Ok(EndpointAnswer::Whole { head, body });
                    }
                    // An endpoint that fails has run it: whatever ends it now is no promise.
                    progress.maybe_run = true;
                    continue;
                }
            };
            progress.maybe_run |= outcome.is_some();
            if !self.may_send_again(job, progress, outcome.is_some()) {
                return Err(self.given_up(job, progress, outcome));
            }
        }
    }

    // Why a job is not sent any more: the VM may have been frozen or suspended since it was admitted.
    fn overtaken(&self, job: &Job, progress: &Progress) -> Option<Refusal> {
        if self.can_still_send(job) {
            return None;
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

    /// Whether a job's time is not over and its key may be used now. Looked at last before it is sent.
    pub fn can_still_send(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let ages = Ages::of(&self.state.borrow().settings);
        let may_use_key = !job.needs_key || self.freshness.allows_keys(now, ages.keys);
        now < job.expiry && may_use_key
    }

    fn may_send_again(&self, job: &Job, progress: &Progress, ran: bool) -> bool {
        let allowed = job.route.execution.is_repeatable() || (!ran && !progress.maybe_run);
        allowed
            && job.body.is_kept()
            && progress.sent < job.route.max_attempts
            && self.clock.now() < job.expiry
            && self.quarantine_allows_retry(job)
            && self.may_repeat(&job.work.service)
    }

    // A repeatable request with another attempt left does not wait for its deadline.
    fn attempt_expiry(&self, job: &Job, progress: &Progress) -> Duration {
        let repeats = job.route.execution.is_repeatable();
        if repeats && progress.sent + 1 < job.route.max_attempts {
            let patience = self.clock.now() + job.route.target * PATIENCE_TARGETS;
            return patience.min(job.expiry);
        }
        job.expiry
    }

    fn given_up(&self, job: &Job, progress: &Progress, cause: Option<&str>) -> Refusal {
        let out_of_time = self.clock.now() >= job.expiry;
        match (progress.maybe_run, out_of_time) {
            (true, true) => Refusal::maybe_run(Kind::DeadlinePassed, cause.unwrap_or("late")),
            (true, false) => Refusal::maybe_run(Kind::EndpointFailed, cause.unwrap_or("lost")),
            (false, _) => {
                let pause = self.pause_left(job, progress);
                let service = &job.work.service;
                let wait = pause.map_or(NO_ROOM_RETRY, |left| self.paused_for(service, left).wait);
                Refusal::not_run(Kind::Overloaded, "the endpoint has no room")
                    .with_retry_after(wait)
            }
        }
    }
}

fn refused(progress: &Progress, nowhere: Nowhere) -> Refusal {
    match progress.maybe_run {
        true => Refusal::maybe_run(Kind::EndpointFailed, "no other endpoint takes work"),
        false => Refusal::not_run(Kind::NoEndpoint, nowhere.cause).with_retry_after(nowhere.wait),
    }
}
