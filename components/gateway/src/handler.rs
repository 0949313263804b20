//! From a caller's request to its final answer.

use std::rc::Rc;
use std::time::Duration;

use directory::{Directory, Lookup, Route, Tenant};
use errors::Kind;
use http::{request, Request, Response};
use hyper::body::Incoming;
use quarantine::{Content, Fingerprint};
use routing::placement::{Placement, Work};
use slog::info;
use telemetry::{Counter, Timer};
use tokio::sync::mpsc;

use crate::answer::{Answer, AnswerBody, Refusal};
use crate::attempt::{Attempted, Reply, Sending};
use crate::caller::Caller;
use crate::decisions::Outcome;
use crate::freshness::Ages;
use crate::held::{Gathered, HeldBytes, KeptBody};
use crate::job::{Job, Progress, SharedJob, ROUTE_RANKS};
use crate::placing::NO_ENDPOINT_RETRY;
use crate::ports::{CallerHead, Dialect};
use crate::stream::Relay;
use crate::traffic::Traffic;

/// Longest time a request is held whose route is not known yet.
pub(crate) const UNROUTED_TIME: Duration = Duration::from_secs(2);
/// Time to come back when endpoints have no room.
const NO_ROOM_RETRY: Duration = Duration::from_millis(150);
/// Longest time to come back when this gateway refused with its own part of a limit only: by then it is in touch with the
/// others again, or others decide in their place (a gateway is silent after 1.5 s).
const ALONE_RETRY: Duration = Duration::from_millis(1500);
/// Time to come back when the configuration is not confirmed.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(300);
/// Time to come back, elsewhere, when this gateway stops.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// Attempts that reached no endpoint, after which a request is given up.
const MOST_UNSENT: usize = 4;
/// Least urgent rank.
pub(crate) const LAST_RANK: u8 = 9;
/// A first attempt of a repeatable request is waited for at most this many times its target.
const PATIENCE_TARGETS: u32 = 2;

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
                return self.refuse("", arrived, refusal.closing());
            }
        };
        let id = head.id.clone();
        if self.freshness.is_closed(arrived) {
            let refusal = Refusal::not_run(Kind::Stopping, "the gateway stops");
            return self.refuse(&id, arrived, refusal.after(STOPPING_RETRY).closing());
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
        let read_by = arrived + head.deadline.unwrap_or(UNROUTED_TIME);
        caller.asks(&head.id, read_by);
        let body = self
            .read_body(&parts, &head, body, read_by, &caller)
            .await?;
        let job = self.admit(arrived, parts, head, body, caller)?;
        let job = Rc::new(job);
        let mut progress = Progress::default();
        if let Some(refusal) = self.held_back(&job, &progress) {
            return Err(refusal);
        }
        let placed = self.charge(&job, &mut progress).await?;
        let served = self.run_attempts(&job, &mut progress, placed).await;
        if served.is_err() && !progress.maybe_run {
            self.give_back(&job, &progress).await;
        }
        let answer = self.reply(&job, progress, served?);
        self.log_answer(&job, &answer);
        Ok(answer)
    }

    // Finds route and tenant and takes the request's cost from the tenant's limit.
    fn admit(
        &self,
        arrived: Duration,
        parts: request::Parts,
        head: CallerHead,
        body: Gathered,
        caller: Rc<Caller>,
    ) -> Result<Job, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let directory = state.directory.clone().ok_or_else(unconfirmed)?;
        let ages = Ages::of(&state.settings);
        let (route, tenant) = match look_up(&directory, &parts, &head) {
            Lookup::Allowed { route, tenant } => (route, tenant),
            _ if !self.freshness.is_confirmed(now, ages.denials) => return Err(unconfirmed()),
            Lookup::NoRoute => {
                return Err(Refusal::not_run(Kind::UnknownRoute, "no route"));
            }
            Lookup::UnknownKey => {
                return Err(Refusal::not_run(Kind::UnknownTeam, "unknown key"));
            }
        };
        let needs_key = directory.needs_key(route);
        if needs_key && !self.freshness.allows_keys(now, ages.keys) {
            return Err(unconfirmed());
        }
        let service = state.pick_service(&route.split).unwrap_or_default();
        let spec = directory.configuration().services.get(&service);
        let expiry = arrived + head.deadline.unwrap_or(route.timeout).min(route.timeout);
        let tokens = head.tokens.unwrap_or_default();
        let team = tenant.map(|tenant| tenant.name.as_str());
        let content = Fingerprint::of(&content_of(&parts, team, &body.bytes));
        let job = Job {
            content,
            needs_key,
            work: Work {
                service: service.clone(),
                parts: head.parts.clone(),
                prompt_tokens: tokens.0,
                answer_tokens: head.answer_guess.unwrap_or(tokens.1),
                body_bytes: body.bytes.len().min(u32::MAX as usize) as u32,
            },
            engine: spec.is_some_and(|s| s.engine.is_some()),
            max_connections: spec.map_or(u32::MAX, |s| s.max_connections),
            cost: tenant.map_or(0, |t| cost_of(&head, t)),
            priority: rank(route, tenant),
            tenant: tenant.map(|t| t.name.clone()),
            route: route.clone(),
            version: directory.configuration().version,
            parts,
            head,
            body: KeptBody::new(body),
            caller,
            arrived,
            expiry,
        };
        Ok(job)
    }

    // Takes the request's cost from its tenant's limit; a coordinator that does so places it as well.
    async fn charge(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Result<Option<Placement>, Refusal> {
        let mut placed = None;
        match self.ask(job, &[], false).await {
            None => self.charge_here(job)?,
            Some(decided) => {
                progress.charged_by = Some(decided.by);
                match decided.outcome {
                    Outcome::Placed(placement) => placed = Some(placement),
                    Outcome::Nowhere | Outcome::LinkFull(_) => {}
                    Outcome::OverLimit(wait) => return Err(over_limit(wait)),
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
        let longest = match state.fleet.is_alone() {
            true => ALONE_RETRY,
            false => Duration::MAX,
        };
        let Some(quota) = state.quotas.get_mut(tenant) else {
            return Ok(());
        };
        quota.take(now, job.cost, job.is_urgent()).map_err(|wait| {
            self.log_limit(now, &job.head.id, tenant, job.cost, &quota.state());
            over_limit(wait.min(longest))
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

    async fn run_attempts(
        self: &Rc<Self>,
        job: &SharedJob,
        progress: &mut Progress,
        mut placed: Option<Placement>,
    ) -> Result<Reply<D>, Refusal> {
        let mut unsent = 0;
        let mut sending = Sending::default();
        loop {
            let placement = match placed.take() {
                Some(placement) => placement,
                None => match self.find(job, progress).await {
                    Ok(placement) => placement,
                    Err(wait) => return Err(self.nowhere(progress, wait)),
                },
            };
            // Word of it may have come meanwhile.
            if let Some(refusal) = self.held_back(job, progress) {
                return Err(refusal);
            }
            self.log_placed(job, &placement);
            if let Some(refusal) = self.overtaken(job, progress) {
                return Err(refusal);
            }
            let expiry = self.attempt_expiry(job, progress);
            progress.sent += 1;
            let attempt = self.attempt_unless_restarted(job, &placement, sending);
            let attempted = self.clock.timeout_at(expiry, attempt).await;
            progress.tried.push(placement.endpoint.clone());
            let outcome = match attempted {
                Ok(Attempted::Answered(reply)) => return Ok(reply),
                Ok(Attempted::NotSent) => {
                    progress.sent -= 1;
                    unsent += 1;
                    if unsent >= MOST_UNSENT || self.clock.now() >= job.expiry {
                        return Err(self.nowhere(progress, NO_ENDPOINT_RETRY));
                    }
                    continue;
                }
                Ok(Attempted::NotRun) => None,
                Ok(Attempted::Lost(cause)) => Some(cause),
                Err(_) => {
                    sending.after_silence = true;
                    Some("the endpoint gave no answer in time")
                }
                Ok(Attempted::Failed { head, body }) => {
                    if !self.may_send_again(job, progress, true) {
                        return Ok(Reply::Whole { head, body });
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
        if self.may_still_send(job) {
            return None;
        }
        Some(match (progress.maybe_run, self.clock.now() >= job.expiry) {
            (true, true) => Refusal::maybe_run(Kind::DeadlinePassed, "late"),
            (true, false) => Refusal::maybe_run(Kind::EndpointFailed, "not sent on"),
            (false, true) => {
                let message = "the time was over before it was sent";
                Refusal::not_run(Kind::Overloaded, message).after(NO_ROOM_RETRY)
            }
            (false, false) => unconfirmed(),
        })
    }

    /// Whether a job's time is not over and its key may be used now. Looked at last before it is sent.
    pub fn may_still_send(&self, job: &Job) -> bool {
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
            && self.may_go_on(job)
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

    fn nowhere(&self, progress: &Progress, wait: Duration) -> Refusal {
        match progress.maybe_run {
            true => Refusal::maybe_run(Kind::EndpointFailed, "no other endpoint takes work"),
            false => Refusal::not_run(Kind::NoEndpoint, "no endpoint takes work").after(wait),
        }
    }

    fn given_up(&self, job: &Job, progress: &Progress, cause: Option<&str>) -> Refusal {
        let out_of_time = self.clock.now() >= job.expiry;
        match (progress.maybe_run, out_of_time) {
            (true, true) => Refusal::maybe_run(Kind::DeadlinePassed, cause.unwrap_or("late")),
            (true, false) => Refusal::maybe_run(Kind::EndpointFailed, cause.unwrap_or("lost")),
            (false, _) => {
                Refusal::not_run(Kind::Overloaded, "the endpoint has no room").after(NO_ROOM_RETRY)
            }
        }
    }

    fn reply(self: &Rc<Self>, job: &SharedJob, progress: Progress, reply: Reply<D>) -> Answer {
        match reply {
            Reply::Whole { head, body } => {
                let body = HeldBytes::counted(body.bytes, body.hold, &job.caller);
                Response::from_parts(head, AnswerBody::whole(body))
            }
            Reply::Events {
                head,
                first,
                events,
            } => {
                // Bounded by what the pieces hold.
                let (pieces, received) = mpsc::unbounded_channel();
                let relay = Relay::new(self, job, progress, pieces);
                tokio::task::spawn_local(relay.run(first, *events));
                Response::from_parts(head, AnswerBody::stream(received))
            }
        }
    }

    fn log_answer(&self, job: &Job, answer: &Answer) {
        let held = self.clock.now().saturating_sub(job.arrived);
        self.metrics.time(Timer::FirstToken, held);
        self.metrics.count(Counter::Done);
        info!(self.log, "answered"; "id" => &job.head.id, "route" => &job.route.name,
            "status" => answer.status().as_u16(), "ms" => held.as_millis() as u64,
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

fn content_of<'a>(parts: &'a request::Parts, team: Option<&'a str>, body: &'a [u8]) -> Content<'a> {
    let target = parts.uri.path_and_query();
    Content {
        method: parts.method.as_str(),
        host: host_of(parts),
        target: target.map_or("", |target| target.as_str()),
        team,
        body,
    }
}

fn host_of(parts: &request::Parts) -> &str {
    let field = parts.headers.get(http::header::HOST);
    let host = field.and_then(|value| value.to_str().ok());
    host.or(parts.uri.host()).unwrap_or_default()
}

pub(crate) fn look_up<'a>(
    directory: &'a Directory,
    parts: &request::Parts,
    head: &CallerHead,
) -> Lookup<'a> {
    directory.look_up(host_of(parts), parts.uri.path(), head.key.as_deref())
}

fn unconfirmed() -> Refusal {
    let message = "the configuration is not confirmed";
    Refusal::not_run(Kind::PlatformUnavailable, message).after(UNCONFIRMED_RETRY)
}

fn over_limit(wait: Duration) -> Refusal {
    Refusal::not_run(Kind::TeamLimit, "the tenant's limit is used up").after(wait)
}

// The rank of the tenant comes before that of the route.
pub(crate) fn rank(route: &Route, tenant: Option<&Tenant>) -> u8 {
    let tenant = tenant.and_then(|t| t.priority).unwrap_or_default();
    let route = route.priority.min(ROUTE_RANKS - 1);
    (tenant.saturating_mul(ROUTE_RANKS) + route).min(LAST_RANK)
}

// Units of its tenant's limit that a request takes.
fn cost_of(head: &CallerHead, tenant: &Tenant) -> u64 {
    let Some(plain) = tenant.quota.and_then(|quota| quota.plain_cost) else {
        return 1;
    };
    let tokens = head.tokens;
    tokens.map_or(plain, |(prompt, answer)| {
        u64::from(prompt) + u64::from(answer)
    })
}
