//! A call of a plain service: claimed if it has an idempotency key, passed on, answered whole.

use std::sync::Arc;
use std::time::Duration;

use errors::{Kind, Problem};
use flume::{Receiver, RecvTimeoutError, Sender};
use provider::body_hash;
use routing::Prompt;
use schema::settings::Pool;
use session::{Action, Event, Failure, Outcome, Session, Terms};
use state::{Claim, ClaimAction, ClaimEvent, ClaimRequest, StoredOutcome, TableCall};
use telemetry::{Counter, RequestSpan, Timer};
use tiny_http::Request;
use transport::{AttemptEnd, ServiceCall, ServiceReply};

use crate::admission::{admit, record, record_choice};
use crate::attempt::{spawn, Attempt, RunEvent};
use crate::call::{is_safe, Call};
use crate::outcome::{failure, refusal};
use crate::reply::{send_problem, send_reply};
use crate::shared::Shared;

/// Attempts after failures, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// Largest answer of a service, in bytes.
const MAX_ANSWER: usize = 8 << 20;
/// Largest answer kept for callers that ask again, in bytes.
const MAX_STORED: usize = 64 << 10;
/// Spending a service call is charged with, in thousandths.
const CALL_COST_MILLI: u64 = 0;

/// Serves one service call to its end.
pub fn serve_service(
    shared: &Arc<Shared>,
    request: Request,
    body: Vec<u8>,
    call: Call,
    hop: RequestSpan,
) {
    let snapshot = shared.snapshot.load_full();
    let path = request.url().to_string();
    let Some(pool) = snapshot.service_pool(&call.team, &path).cloned() else {
        let message = format!("no pool of team {} serves this path", call.team.name);
        let problem = Problem::not_run(Kind::UnknownRoute, message);
        return send_problem(request, &problem.with_request_id(&call.id));
    };
    let (sender, receiver) = flume::unbounded();
    match admit(
        shared,
        &call,
        &pool.name,
        CALL_COST_MILLI,
        (&sender, &receiver),
    ) {
        Ok(_admission) => {
            let passed = passed_call(&request, body, &call, shared.now());
            let run = ServiceRun::new(shared, call, &pool, passed, (sender, receiver));
            run.serve(request, &hop);
        }
        Err(problem) => {
            shared.metrics.count(Counter::Refused);
            send_problem(request, &problem.with_request_id(&call.id));
        }
    }
}

fn passed_call(request: &Request, body: Vec<u8>, call: &Call, now: Duration) -> ServiceCall {
    let ours = ["traceparent", "croftpond-deadline-ms"];
    let mut headers: Vec<(String, String)> = request
        .headers()
        .iter()
        .map(|h| (h.field.to_string(), h.value.to_string()))
        .filter(|(name, _)| !ours.contains(&name.to_ascii_lowercase().as_str()))
        .collect();
    let left = call.deadline.saturating_sub(now);
    headers.push(("Croftpond-Deadline-Ms".into(), left.as_millis().to_string()));
    ServiceCall {
        method: request.method().to_string(),
        path: request.url().to_string(),
        headers,
        body,
        max_answer_bytes: MAX_ANSWER,
        timeout_secs: left.as_secs() + 1,
    }
}

struct ServiceRun<'a> {
    shared: &'a Arc<Shared>,
    call: Call,
    pool: &'a Pool,
    passed: ServiceCall,
    prompt: Prompt,
    session: Session<ServiceReply>,
    claim: Option<Claim>,
    attempt: Option<(u32, Attempt)>,
    excluded: Vec<String>,
    due: Vec<(Duration, u32)>,
    claim_wake: Option<Duration>,
    sender: Sender<RunEvent>,
    receiver: Receiver<RunEvent>,
    reply: Option<ServiceReply>,
    answer: Option<Answer>,
    closed: bool,
    // Whether the session may dispatch: at once, or once the claim stands.
    started: bool,
}

enum Answer {
    Reply(ServiceReply),
    Problem(Problem),
}

impl<'a> ServiceRun<'a> {
    fn new(
        shared: &'a Arc<Shared>,
        call: Call,
        pool: &'a Pool,
        passed: ServiceCall,
        (sender, receiver): (Sender<RunEvent>, Receiver<RunEvent>),
    ) -> Self {
        let method = passed.method.parse().unwrap_or(tiny_http::Method::Post);
        let terms = Terms {
            repeatable: call.repeatable.unwrap_or(is_safe(&method)),
            deadline: call.deadline,
            max_attempts: MAX_ATTEMPTS,
            jitter_milli: rand::random_range(0..=1000),
            from: 0,
        };
        ServiceRun {
            prompt: Prompt::none(&call.id),
            session: Session::new(terms),
            claim: None,
            attempt: None,
            excluded: Vec::new(),
            due: Vec::new(),
            claim_wake: None,
            reply: None,
            answer: None,
            closed: true,
            started: false,
            shared,
            call,
            pool,
            passed,
            sender,
            receiver,
        }
    }

    fn serve(mut self, request: Request, hop: &RequestSpan) {
        self.start(hop);
        while self.answer.is_none() {
            self.turn(hop);
        }
        self.count_answer();
        match self.answer.take() {
            Some(Answer::Reply(reply)) => send_reply(request, &self.call.id, reply),
            Some(Answer::Problem(problem)) => {
                send_problem(request, &problem.with_request_id(&self.call.id));
            }
            None => {}
        }
        // The caller has its answer; the row of the claim is still brought to its end.
        while !self.closed {
            self.turn(hop);
        }
    }

    fn start(&mut self, hop: &RequestSpan) {
        let Some(key) = self.call.idempotency_key.clone() else {
            return self.step(hop, Event::Start);
        };
        let request = ClaimRequest {
            key: format!("claim/{}/{}", self.call.team.name, body_hash(&key)),
            claim_id: format!("{:032x}", rand::random::<u128>()),
            node: self.shared.settings.name.clone(),
            request_sha256: self.request_hash(),
            deadline: self.call.deadline,
        };
        self.shared.metrics.count(Counter::Claims);
        let (claim, actions) = Claim::start(request);
        self.claim = Some(claim);
        self.closed = false;
        self.claim_actions(hop, actions);
    }

    fn request_hash(&self) -> String {
        let body = String::from_utf8_lossy(&self.passed.body);
        body_hash(&format!(
            "{} {}\n{body}",
            self.passed.method, self.passed.path
        ))
    }

    fn turn(&mut self, hop: &RequestSpan) {
        let now = self.shared.now();
        let due = self.due.iter().map(|(at, _)| *at);
        let waiting = self.answer.is_none().then_some(self.call.deadline);
        let timer = due.chain(self.claim_wake).chain(waiting).min();
        let wait = timer.map_or(Duration::from_secs(1), |at| at.saturating_sub(now));
        match self.receiver.recv_timeout(wait) {
            Ok(event) => self.take(hop, event),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                self.take_timers(hop)
            }
        }
    }

    fn take_timers(&mut self, hop: &RequestSpan) {
        let now = self.shared.now();
        let deadline = now >= self.call.deadline && self.answer.is_none();
        if deadline || self.claim_wake.is_some_and(|at| now >= at) {
            self.claim_wake = None;
            self.claim_event(hop, ClaimEvent::Tick);
        }
        self.send_due(hop, now);
        if self.answer.is_none() && self.started {
            self.step(hop, Event::Tick);
        }
    }

    fn take(&mut self, hop: &RequestSpan, event: RunEvent) {
        match event {
            RunEvent::Answered { attempt, reply } => {
                self.settle();
                self.step(
                    hop,
                    Event::Part {
                        attempt,
                        offset: 0,
                        part: reply,
                    },
                );
                self.step(hop, Event::End { attempt, total: 1 });
            }
            RunEvent::Ended { attempt, end } => self.fail(hop, attempt, end),
            RunEvent::Table { call, reply } => {
                self.claim_event(hop, ClaimEvent::Replied { call, reply });
            }
            _ => {}
        }
    }

    fn settle(&mut self) -> Option<Attempt> {
        let (_, attempt) = self.attempt.take()?;
        let now = self.shared.now();
        let mut traffic = self.shared.traffic();
        traffic.ended(now, &attempt.endpoint, now - attempt.sent);
        traffic.router.answered(&attempt.endpoint);
        drop(traffic);
        Some(attempt)
    }

    fn fail(&mut self, hop: &RequestSpan, number: u32, end: AttemptEnd) {
        if let Some(attempt) = self.settle() {
            let now = self.shared.now();
            self.shared.traffic().router.failed(now, &attempt.endpoint);
            record(
                self.shared,
                &self.call,
                "attempt",
                &attempt.endpoint,
                format!("ended {end:?}"),
            );
            self.excluded.push(attempt.endpoint);
        }
        let failure = match end {
            AttemptEnd::NotStarted => Failure::NotStarted,
            AttemptEnd::Complete | AttemptEnd::Broken => Failure::Unknown,
        };
        self.step(
            hop,
            Event::Failed {
                attempt: number,
                failure,
            },
        );
    }

    fn step(&mut self, hop: &RequestSpan, event: Event<ServiceReply>) {
        self.started = true;
        let now = self.shared.now();
        for action in self.session.step(now, event) {
            match action {
                Action::Dispatch {
                    attempt,
                    not_before,
                    ..
                } => self.due.push((not_before, attempt)),
                Action::Emit { part, .. } => self.reply = Some(part),
                Action::Cancel { .. } => {}
                Action::Finish(outcome) => self.finish(hop, outcome),
            }
        }
        self.send_due(hop, now);
    }

    fn send_due(&mut self, hop: &RequestSpan, now: Duration) {
        while let Some(at) = self.due.iter().position(|(at, _)| *at <= now) {
            let (_, attempt) = self.due.remove(at);
            self.send(hop, attempt, now);
        }
    }

    fn send(&mut self, hop: &RequestSpan, number: u32, now: Duration) {
        if number > 1 && !self.shared.traffic().may_retry() {
            self.shared.metrics.count(Counter::RetryBudgetExhausted);
            return self.step(hop, Event::NoEndpoint { attempt: number });
        }
        let Some((endpoint, address)) = self.choose(now) else {
            return self.step(hop, Event::NoEndpoint { attempt: number });
        };
        let counter = if number > 1 {
            Counter::Retries
        } else {
            Counter::Attempts
        };
        self.shared.metrics.count(counter);
        let attempt = Attempt::new(endpoint, address, now, hop);
        attempt.call(number, self.passed.clone(), self.sender.clone());
        self.attempt = Some((number, attempt));
    }

    fn choose(&self, now: Duration) -> Option<(String, String)> {
        let ask = self.call.ask(&self.pool.name, &self.prompt, &self.excluded);
        let mut traffic = self.shared.traffic();
        let (decision, address) = traffic.route(now, &ask)?;
        drop(traffic);
        let next = decision.runner_up.map(|c| c.endpoint).unwrap_or_default();
        let reason = format!("score {:.1}", decision.chosen.estimate.score);
        let chosen = decision.chosen.endpoint;
        record_choice(self.shared, &self.call, "route", (&chosen, &next), reason);
        Some((chosen, address))
    }

    fn finish(&mut self, hop: &RequestSpan, outcome: Outcome) {
        record(
            self.shared,
            &self.call,
            "finish",
            "",
            format!("{outcome:?}"),
        );
        self.settle();
        match (outcome, self.reply.take()) {
            (Outcome::Done { .. }, Some(reply)) => self.done(hop, reply),
            (Outcome::Refused(reason), _) => {
                self.claim_event(hop, ClaimEvent::NotStarted);
                self.answer.get_or_insert(Answer::Problem(refusal(reason)));
            }
            (Outcome::Failed(reason), _) => self.failed(hop, &failure(reason)),
            (Outcome::Done { .. } | Outcome::Abandoned, _) => {
                self.failed(
                    hop,
                    &Problem::maybe_run(Kind::EndpointFailed, "no answer came"),
                );
            }
        }
    }

    fn done(&mut self, hop: &RequestSpan, reply: ServiceReply) {
        self.shared.traffic().succeeded();
        self.claim_event(hop, ClaimEvent::Completed(stored(&reply)));
        self.answer.get_or_insert(Answer::Reply(reply));
    }

    fn failed(&mut self, hop: &RequestSpan, problem: &Problem) {
        let stored = StoredOutcome {
            status: i32::from(Kind::OutcomeUnknown.status()),
            body: unknown().to_json(),
        };
        self.claim_event(hop, ClaimEvent::Completed(stored));
        self.answer.get_or_insert(Answer::Problem(problem.clone()));
    }

    fn claim_event(&mut self, hop: &RequestSpan, event: ClaimEvent) {
        let now = self.shared.now();
        let Some(claim) = &mut self.claim else {
            return;
        };
        let actions = claim.step(now, event);
        self.claim_actions(hop, actions);
    }

    fn claim_actions(&mut self, hop: &RequestSpan, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Call { call, table } => self.call_table(call, table),
                ClaimAction::WakeAt(at) => self.claim_wake = Some(at),
                ClaimAction::Dispatch => {
                    record(
                        self.shared,
                        &self.call,
                        "claim",
                        "ours",
                        "the row stands".into(),
                    );
                    self.step(hop, Event::Start);
                }
                ClaimAction::Closed => self.closed = true,
                answer => self.claim_answer(answer),
            }
        }
    }

    fn claim_answer(&mut self, action: ClaimAction) {
        record(
            self.shared,
            &self.call,
            "claim",
            "answer",
            format!("{action:?}").chars().take(120).collect(),
        );
        let answer = match action {
            ClaimAction::AnswerStored(outcome) => {
                self.shared.metrics.count(Counter::ClaimStored);
                Answer::Reply(ServiceReply {
                    status: outcome.status as u16,
                    headers: vec![
                        ("Content-Type".into(), "application/json".into()),
                        ("Croftpond-Stored".into(), "yes".into()),
                    ],
                    body: outcome.body.into_bytes(),
                })
            }
            ClaimAction::AnswerKeyReused => Answer::Problem(Problem::not_run(
                Kind::KeyReused,
                "the idempotency key belongs to another request",
            )),
            ClaimAction::AnswerUnknown => Answer::Problem(unknown()),
            _ => Answer::Problem(
                Problem::not_run(
                    Kind::ClaimUnconfirmed,
                    "the claim could not be confirmed in time",
                )
                .with_retry_after_ms(CLAIM_RETRY_MS),
            ),
        };
        self.answer.get_or_insert(answer);
    }

    fn call_table(&self, call: u32, table: TableCall) {
        let (shared, sender) = (Arc::clone(self.shared), self.sender.clone());
        spawn(move || {
            let reply = shared.call_for_claim(&table);
            let _ = sender.send(RunEvent::Table { call, reply });
        });
    }

    fn count_answer(&self) {
        let now = self.shared.now();
        let metrics = &self.shared.metrics;
        metrics.record_duration(Timer::RequestTotal, now - self.call.arrived);
        match &self.answer {
            Some(Answer::Reply(_)) => metrics.count(Counter::Done),
            Some(Answer::Problem(p)) if p.run == errors::MaybeRun::NotRun => {
                metrics.count(Counter::Refused);
            }
            _ => metrics.count(Counter::Failed),
        }
    }
}

/// Time to come back when a claim could not be confirmed.
const CLAIM_RETRY_MS: u64 = 1000;

fn unknown() -> Problem {
    Problem::maybe_run(
        Kind::OutcomeUnknown,
        "a request with this idempotency key may have run and its outcome is unknown",
    )
}

// An answer too large to keep is remembered as run.
fn stored(reply: &ServiceReply) -> StoredOutcome {
    match String::from_utf8(reply.body.clone()) {
        Ok(body) if body.len() <= MAX_STORED => StoredOutcome {
            status: i32::from(reply.status),
            body,
        },
        _ => StoredOutcome {
            status: i32::from(Kind::OutcomeUnknown.status()),
            body: Problem::maybe_run(
                Kind::OutcomeUnknown,
                format!(
                    "it ran with status {}, and its answer was too large to keep",
                    reply.status
                ),
            )
            .to_json(),
        },
    }
}
