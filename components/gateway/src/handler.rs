//! Handles a caller's request up to its final answer.

use std::rc::Rc;
use std::time::Duration;

use errors::Kind;
use http::{request, Request, Response};
use hyper::body::Incoming;
use routing::placement::Placement;
use slog::info;
use telemetry::{Counter, Timer};
use tokio::sync::mpsc;

use crate::answer::{Answer, AnswerBody, Refusal};
use crate::attempt::EndpointAnswer;
use crate::buffers::HeldBytes;
use crate::caller::Caller;
use crate::decisions::Outcome;
use crate::job::{Job, Progress, SharedJob};
use crate::placing::NoPlacement;
use crate::ports::{CallerHead, Dialect};
use crate::retry::CALLER_LEFT;
use crate::stream::Relay;
use crate::traffic::Traffic;

/// Deadline of a request whose route is not known yet, if the request names none.
pub(crate) const UNROUTED_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper limit of the retry delay when this gateway refuses by its own part of a limit only. After it the gateway has
/// contact with the coordinators again, or others have replaced them: a gateway counts as silent after 1.5 s.
const MAX_ALONE_RETRY: Duration = Duration::from_millis(1500);
/// Retry delay, at another gateway, when this one stops.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

impl<D: Dialect + 'static> Traffic<D> {
    /// Answers one request.
    pub async fn answer(self: Rc<Self>, request: Request<Incoming>, caller: Rc<Caller>) -> Answer {
        let arrived = self.clock.now();
        let (parts, body) = request.into_parts();
        self.metrics.count(Counter::Accepted);
        let head = match self.dialect.read_request(&parts) {
            Ok(head) => head,
            Err(fault) => {
                let refusal = Refusal::not_run(Kind::BadHeader, fault.0);
                return self.refuse("", arrived, refusal.closing_connection());
            }
        };
        let id = head.id.clone();
        if self.freshness.is_closed(arrived) {
            return self.refuse(&id, arrived, stopping_refusal());
        }
        match self.serve(arrived, parts, head, body, caller).await {
            Ok(answer) => answer,
            Err(refusal) => self.refuse(&id, arrived, refusal),
        }
    }

    async fn serve(
        self: &Rc<Self>,
        arrived: Duration,
        parts: request::Parts,
        head: CallerHead,
        body: Incoming,
        caller: Rc<Caller>,
    ) -> Result<Answer, Refusal> {
        let read_by = arrived + head.deadline.unwrap_or(UNROUTED_TIMEOUT);
        caller.set_request(&head.id, read_by);
        let body = self
            .read_body(&parts, &head, body, read_by, &caller)
            .await?;
        if caller.has_left() {
            // Its connection may have waited to be accepted until it gave up.
            return Err(Refusal::not_run(Kind::Overloaded, CALLER_LEFT));
        }
        let job = self.admit(arrived, parts, head, body, caller)?;
        let job = Rc::new(job);
        let mut progress = Progress::default();
        if let Some(refusal) = self.quarantine_refusal(&job, &progress) {
            return Err(refusal);
        }
        progress.required_version = Box::pin(self.find_required_version(&job)).await?;
        let placed = self.charge(&job, &mut progress).await?;
        let served = self.run_attempts(&job, &mut progress, placed).await;
        if served.is_err() && !progress.maybe_run {
            self.give_back(&job, &progress).await;
        }
        let answer = self.build_answer(&job, progress, served?);
        self.log_answer(&job, &answer);
        Ok(answer)
    }

    // Charges the request to its tenant's limit. A coordinator that charges it also places it.
    async fn charge(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Result<Option<Placement>, Refusal> {
        let mut placed = None;
        match Box::pin(self.request_decision_until_ready(job, progress, false)).await {
            None => self.charge_here(job)?,
            Some(decided) => {
                progress.charged_by = Some(decided.coordinator);
                match decided.outcome {
                    Outcome::Placed(placement) if progress.allows_version_of(&placement) => {
                        placed = Some(placement)
                    }
                    Outcome::Placed(_) => {}
                    Outcome::NoEndpoint | Outcome::LinkFull(_) => {}
                    Outcome::OverLimit(wait) => return Err(limit_refusal(wait)),
                    Outcome::Starting => return Err(starting_refusal()),
                    // Not returned for a decision without a maximum age.
                    Outcome::Outdated(_) => {}
                }
            }
        }
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .count_request(now, &job.work.service);
        Ok(placed)
    }

    fn charge_here(&self, job: &Job) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let tenant = job.tenant.as_deref().unwrap_or_default();
        let max_wait = match state.fleet.is_isolated() {
            true => MAX_ALONE_RETRY,
            false => Duration::MAX,
        };
        let Some(quota) = state.quotas.get_mut(tenant) else {
            return Ok(());
        };
        quota.take(now, job.cost, job.is_urgent()).map_err(|wait| {
            self.log_limit(now, &job.head.id, tenant, job.cost, &quota.state());
            limit_refusal(wait.min(max_wait))
        })
    }

    async fn give_back(&self, job: &Job, progress: &Progress) {
        let Some(tenant) = &job.tenant else {
            return;
        };
        if let Some(by) = progress.charged_by {
            return self.give_back_to(by, tenant, job.cost).await;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.give_back(now, tenant, job.cost);
    }

    fn build_answer(
        self: &Rc<Self>,
        job: &SharedJob,
        progress: Progress,
        answer: EndpointAnswer<D>,
    ) -> Answer {
        match answer {
            EndpointAnswer::Whole { head, body } => {
                let body = HeldBytes::counted(body.bytes, body.reservation, &job.caller);
                Response::from_parts(head, AnswerBody::whole(body))
            }
            EndpointAnswer::Events {
                head,
                first,
                events,
            } => {
                // Bounded by the memory that its parts reserve.
                let (parts_sender, parts_receiver) = mpsc::unbounded_channel();
                let relay = Relay::new(self, job, progress, parts_sender);
                tokio::task::spawn_local(relay.run(first, *events));
                Response::from_parts(head, AnswerBody::stream(parts_receiver))
            }
        }
    }

    fn log_answer(&self, job: &Job, answer: &Answer) {
        let elapsed = self.clock.now().saturating_sub(job.arrived);
        self.metrics.record_duration(Timer::FirstToken, elapsed);
        self.metrics.count(Counter::Done);
        info!(self.log, "answered"; "id" => &job.head.id, "route" => &job.route.name,
            "status" => answer.status().as_u16(), "ms" => elapsed.as_millis() as u64,
            "tenant" => &job.tenant);
    }

    fn refuse(&self, id: &str, arrived: Duration, refusal: Refusal) -> Answer {
        let now = self.clock.now();
        let age = self.freshness.age(now).map(|age| age.as_millis() as u64);
        self.metrics.count(match refusal.problem.run {
            errors::MaybeRun::NotRun => Counter::Refused,
            errors::MaybeRun::Unknown => Counter::Failed,
        });
        info!(self.log, "refused"; "id" => id, "status" => refusal.status(),
            "cause" => &refusal.problem.message, "confirmed_ms_ago" => age,
            "ms" => now.saturating_sub(arrived).as_millis() as u64);
        refusal.into_answer(id)
    }
}

/// The refusal of a request that was not run because the gateway stops.
pub(crate) fn stopping_refusal() -> Refusal {
    Refusal::not_run(Kind::Stopping, "the gateway stops")
        .with_retry_after(STOPPING_RETRY)
        .closing_connection()
}

// The coordinators have just started, so nothing was charged and no endpoint chosen.
fn starting_refusal() -> Refusal {
    let NoPlacement { cause, wait } = NoPlacement::STARTING;
    Refusal::not_run(Kind::PlatformUnavailable, cause).with_retry_after(wait)
}

fn limit_refusal(wait: Duration) -> Refusal {
    Refusal::not_run(Kind::TeamLimit, "the tenant's limit is used up").with_retry_after(wait)
}
