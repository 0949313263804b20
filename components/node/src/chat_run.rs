//! The run of one chat completion: its attempts, and the answer to its caller.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fleet::Move;
use flume::{Receiver, RecvTimeoutError, Sender};
use limits::{Verdict, Waiter};
use routing::{Ask, Decision, Prompt};
use schema::messages::ResumeToken;
use schema::settings::{Pool, Priority};
use session::{Action, Cause, Event, Failure, Outcome, Session, Terms};
use telemetry::{Counter, Hop, Timer};
use tiny_http::Request;
use transport::{AttemptEnd, ChatRequest, Generate, Piece};

use crate::admission::{record, record_choice};
use crate::attempt::{Attempt, RunEvent};
use crate::call::Call;
use crate::chat::Resumed;
use crate::outcome::{failure, refusal};
use crate::output::Output;
use crate::reply::Completion;
use crate::shared::{unix_millis, Shared};
use crate::traffic::Live;

/// Tokens of an answer when the caller names no limit.
pub const DEFAULT_TOKENS: u32 = 256;
/// Attempts after failures, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// Silence of a started stream that counts as a failure.
const STALL: Duration = Duration::from_secs(3);
/// Silence towards the caller after which a comment is sent, to find out whether it is there.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// A second attempt is made when the first token is this many targets late.
const HEDGE_TARGETS: u32 = 2;
/// Pause before an accepted request looks again for an endpoint.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Life of a resume token, in seconds.
const RESUME_SECS: i64 = 300;

/// A dispatch whose time has not come.
struct Pending {
    attempt: u32,
    from: u64,
    not_before: Duration,
    cause: Cause,
}

/// One chat completion under way.
pub struct ChatRun<'a> {
    shared: &'a Arc<Shared>,
    id: u64,
    call: Call,
    chat: ChatRequest,
    pool: &'a Pool,
    prompt: Prompt,
    texts: Vec<String>,
    body_sha256: String,
    session: Session<String>,
    attempts: BTreeMap<u32, Attempt>,
    pending: Vec<Pending>,
    excluded: Vec<String>,
    received: Vec<String>,
    // Where the next attempt should go, from a resume token or a reclaim plan.
    planned: Option<Planned>,
    sender: Sender<RunEvent>,
    receiver: Receiver<RunEvent>,
    output: Output,
    last_output: Duration,
    hedge_at: Option<Duration>,
    first_token: bool,
    outcome: Option<Outcome>,
    given: Arc<AtomicU64>,
    // Set while a batch stream that made room waits at the gate.
    yielding: bool,
}

struct Planned {
    endpoint: String,
    // Address and stream to import KV cache from.
    kv: Option<(String, String)>,
    // Stream of the endpoint itself to go on with.
    resume: Option<String>,
}

/// A request as it was admitted.
pub struct Work<'a> {
    /// Its terms.
    pub call: Call,
    /// What is asked.
    pub chat: ChatRequest,
    /// Pool that serves it.
    pub pool: &'a Pool,
    /// SHA-256 of its body.
    pub body_sha256: String,
    /// Where it goes on, if another node began it.
    pub resumed: Option<Resumed>,
}

fn terms(call: &Call, from: u64) -> Terms {
    Terms {
        repeatable: call.repeatable.unwrap_or(true),
        deadline: call.deadline,
        max_attempts: MAX_ATTEMPTS,
        jitter_milli: rand::random_range(0..=1000),
        from,
    }
}

impl<'a> ChatRun<'a> {
    /// A run that has not started; `id` is its number at this node.
    pub fn new(
        shared: &'a Arc<Shared>,
        work: Work<'a>,
        id: u64,
        (sender, receiver): (Sender<RunEvent>, Receiver<RunEvent>),
    ) -> Self {
        let Work {
            call,
            chat,
            pool,
            body_sha256,
            resumed,
        } = work;
        let text = |m: &transport::ChatMessage| format!("{}: {}\n", m.role, m.content);
        let texts: Vec<String> = chat.messages.iter().map(text).collect();
        let received = resumed
            .as_ref()
            .map(|r| r.received.clone())
            .unwrap_or_default();
        let planned = resumed.map(|r| Planned {
            endpoint: r.token.endpoint,
            kv: None,
            resume: Some(r.token.stream),
        });
        ChatRun {
            shared,
            id,
            prompt: Prompt::of_messages(&texts),
            body_sha256,
            texts,
            session: Session::new(terms(&call, received.len() as u64)),
            attempts: BTreeMap::new(),
            pending: Vec::new(),
            excluded: Vec::new(),
            given: Arc::new(AtomicU64::new(received.len() as u64)),
            received,
            planned,
            sender,
            receiver,
            output: Output::Gone,
            last_output: call.arrived,
            hedge_at: None,
            first_token: false,
            outcome: None,
            yielding: false,
            call,
            chat,
            pool,
        }
    }

    /// Runs to the end and answers the caller.
    pub fn serve(&mut self, request: Request, hop: &Hop) {
        self.output = Output::Waiting(request);
        self.step(hop, Event::Start);
        while self.outcome.is_none() {
            self.turn(hop);
        }
        self.conclude();
    }

    // Waits for the next event or timer and handles it.
    fn turn(&mut self, hop: &Hop) {
        let now = self.shared.now();
        let wait = self.next_timer().saturating_sub(now);
        match self.receiver.recv_timeout(wait) {
            Ok(event) => self.take(hop, event),
            Err(RecvTimeoutError::Timeout) => self.take_timers(hop),
            Err(RecvTimeoutError::Disconnected) => self.step(hop, Event::Tick),
        }
    }

    fn next_timer(&self) -> Duration {
        let pending = self.pending.iter().map(|p| p.not_before);
        let stalls = self.attempts.values().map(|a| a.heard + STALL);
        let heartbeat = self.last_output + HEARTBEAT;
        let times = pending
            .chain(stalls)
            .chain(self.hedge_at)
            .chain([heartbeat]);
        times.min().unwrap_or(heartbeat).min(self.call.deadline)
    }

    fn take_timers(&mut self, hop: &Hop) {
        let now = self.shared.now();
        self.send_due(hop, now);
        if self.hedge_at.is_some_and(|at| now >= at) {
            self.hedge_at = None;
            if self.shared.traffic().may_hedge() {
                self.step(hop, Event::Hedge);
            }
        }
        let stalled = |a: &&Attempt| a.stream.is_some() && now >= a.heard + STALL;
        let stalled: Vec<u32> = self
            .attempts
            .iter()
            .filter(|(_, a)| stalled(a))
            .map(|(n, _)| *n)
            .collect();
        for attempt in stalled {
            self.fail(hop, attempt, AttemptEnd::Broken);
        }
        if now >= self.last_output + HEARTBEAT {
            self.heartbeat(hop, now);
        }
        self.step(hop, Event::Tick);
    }

    fn heartbeat(&mut self, hop: &Hop, now: Duration) {
        self.last_output = now;
        for attempt in self.attempts.values_mut().filter(|a| a.stream.is_none()) {
            attempt.heard = now;
        }
        if self.chat.stream && !self.output.heartbeat(&self.call.id) {
            self.step(hop, Event::CallerGone);
        }
    }

    fn take(&mut self, hop: &Hop, event: RunEvent) {
        match event {
            RunEvent::Piece { attempt, piece } => self.take_piece(hop, attempt, piece),
            RunEvent::Ended { attempt, end } => self.fail(hop, attempt, end),
            RunEvent::Leaving { attempt, plan } => self.relocate(hop, attempt, plan),
            RunEvent::Yield { attempt } => self.make_room(hop, attempt),
            RunEvent::Admitted => self.readmitted(hop),
            RunEvent::Answered { .. } | RunEvent::Table { .. } => {}
        }
    }

    fn take_piece(&mut self, hop: &Hop, attempt: u32, piece: Piece) {
        let now = self.shared.now();
        let Some(known) = self.attempts.get_mut(&attempt) else {
            return;
        };
        known.heard = now;
        let event = match piece {
            Piece::Stream(stream) => {
                known.stream = Some(stream.clone());
                let mut traffic = self.shared.traffic();
                if let Some(live) = traffic.live.get_mut(&self.id) {
                    live.stream = Some(stream);
                }
                return;
            }
            Piece::Token { offset, text } => Event::Part {
                attempt,
                offset,
                part: text,
            },
            Piece::End(total) => Event::End { attempt, total },
        };
        self.step(hop, event);
    }

    // An attempt's thread ends after its last piece; what is missing then will not come.
    fn fail(&mut self, hop: &Hop, attempt: u32, end: AttemptEnd) {
        let Some(known) = self.attempts.remove(&attempt) else {
            return;
        };
        let now = self.shared.now();
        let mut traffic = self.shared.traffic();
        traffic.ended(now, &known.endpoint, now - known.sent);
        if end != AttemptEnd::Complete {
            traffic.router.failed(now, &known.endpoint);
        }
        drop(traffic);
        known.cancel(self.shared);
        record(
            self.shared,
            &self.call,
            "attempt",
            &known.endpoint,
            format!("ended {end:?}"),
        );
        self.excluded.push(known.endpoint);
        let failure = match end {
            AttemptEnd::NotStarted => Failure::NotStarted,
            AttemptEnd::Complete | AttemptEnd::Broken => Failure::Unknown,
        };
        self.step(hop, Event::Failed { attempt, failure });
    }

    fn relocate(&mut self, hop: &Hop, attempt: u32, plan: Move) {
        let Some(known) = self.attempts.get(&attempt) else {
            return;
        };
        let kv = known
            .stream
            .clone()
            .map(|stream| (known.address.clone(), stream));
        let (target, kv) = match &plan {
            Move::Finish => return,
            Move::Import { target } => (Some(target.clone()), kv),
            Move::Recompute { target } => (Some(target.clone()), None),
            Move::Requeue => (None, None),
        };
        let from = known.endpoint.clone();
        record(
            self.shared,
            &self.call,
            "move",
            target.as_deref().unwrap_or("any"),
            format!("{from} leaves: {plan:?}"),
        );
        self.planned = target.map(|endpoint| Planned {
            endpoint,
            kv,
            resume: None,
        });
        self.shared.metrics.count(Counter::Moves);
        self.step(hop, Event::Move { attempt });
    }

    // A batch stream makes room: it stops, waits at the gate again and goes on where it was.
    fn make_room(&mut self, hop: &Hop, attempt: u32) {
        if !self.attempts.contains_key(&attempt) || self.call.priority != Priority::BATCH {
            return;
        }
        self.shared.metrics.count(Counter::Yields);
        record(
            self.shared,
            &self.call,
            "yield",
            "wait",
            "a more urgent request needs the slot".into(),
        );
        self.yielding = true;
        self.step(hop, Event::Move { attempt });
    }

    fn readmitted(&mut self, hop: &Hop) {
        let now = self.shared.now();
        self.yielding = false;
        for pending in &mut self.pending {
            pending.not_before = now;
        }
        self.send_due(hop, now);
    }

    fn step(&mut self, hop: &Hop, event: Event<String>) {
        let now = self.shared.now();
        let mut actions: Vec<Action<String>> = self.session.step(now, event);
        actions.reverse();
        while let Some(action) = actions.pop() {
            match action {
                Action::Dispatch {
                    attempt,
                    from,
                    not_before,
                    cause,
                } => {
                    self.pending.push(Pending {
                        attempt,
                        from,
                        not_before,
                        cause,
                    });
                }
                Action::Emit {
                    attempt,
                    offset,
                    part,
                } => {
                    if !self.emit(attempt, offset, part) {
                        return self.step(hop, Event::CallerGone);
                    }
                }
                Action::Cancel { attempt } => self.cancel(attempt),
                Action::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
        if self.outcome.is_none() {
            self.send_due(hop, now);
        }
    }

    fn cancel(&mut self, attempt: u32) {
        self.pending.retain(|p| p.attempt != attempt);
        let Some(known) = self.attempts.remove(&attempt) else {
            return;
        };
        let now = self.shared.now();
        self.shared
            .traffic()
            .ended(now, &known.endpoint, now - known.sent);
        known.cancel(self.shared);
    }

    fn send_due(&mut self, hop: &Hop, now: Duration) {
        let due = |p: &Pending| p.not_before <= now;
        while let Some(at) = self.pending.iter().position(due) {
            let pending = self.pending.remove(at);
            self.send(hop, pending);
            if self.outcome.is_some() {
                return;
            }
        }
    }

    fn send(&mut self, hop: &Hop, pending: Pending) {
        let now = self.shared.now();
        if pending.cause == Cause::Retry && !self.shared.traffic().may_retry() {
            self.shared.metrics.count(Counter::RetryBudget);
            let attempt = pending.attempt;
            return self.step(hop, Event::NoEndpoint { attempt });
        }
        if self.must_wait(now) {
            let not_before = self.call.deadline;
            self.pending.push(Pending {
                not_before,
                ..pending
            });
            return;
        }
        let _route = hop.child("route");
        match self.choose(now) {
            Some((endpoint, address)) => self.dispatch(hop, &pending, endpoint, address),
            None => self.without_endpoint(hop, pending, now),
        }
    }

    // A batch stream that made room queues at the gate before it goes on.
    fn must_wait(&mut self, now: Duration) -> bool {
        if !self.yielding {
            return false;
        }
        let waiter = Waiter {
            priority: self.call.priority,
            deadline: self.call.deadline,
            id: self.id,
        };
        let verdict = self
            .shared
            .traffic()
            .enter(now, &self.pool.name, waiter, &self.sender);
        self.yielding = verdict == Verdict::Wait;
        self.yielding
    }

    fn choose(&mut self, now: Duration) -> Option<(String, String)> {
        let mut traffic = self.shared.traffic();
        if let Some(planned) = &self.planned {
            let state = traffic.router.state(&planned.endpoint);
            let state = state.filter(|s| s.is_usable(now));
            let found = state.map(|s| (s.spec.name.clone(), s.spec.address.clone()));
            if let Some((endpoint, address)) = found {
                let ask = self.ask(&[]);
                traffic.router.sent(&endpoint, &ask);
                return Some((endpoint, address));
            }
            drop(traffic);
            self.planned = None;
            return self.choose(now);
        }
        let started = self.shared.now();
        let decision = traffic.route(now, &self.ask(&self.excluded));
        // Better an endpoint that failed before than none.
        let decision = decision.or_else(|| traffic.route(now, &self.ask(&[])))?;
        let address = traffic
            .router
            .state(&decision.chosen.endpoint)?
            .spec
            .address
            .clone();
        drop(traffic);
        self.shared
            .metrics
            .time(Timer::Decision, self.shared.now() - started);
        self.note(&decision);
        Some((decision.chosen.endpoint, address))
    }

    fn ask<'b>(&'b self, exclude: &'b [String]) -> Ask<'b> {
        Ask {
            pool: &self.pool.name,
            prompt: &self.prompt,
            priority: self.call.priority,
            target: Duration::from_millis(self.call.team.target_ms as u64),
            latency_weight: self.call.team.latency_weight as u32,
            exclude,
        }
    }

    fn note(&self, decision: &Decision) {
        let chosen = &decision.chosen;
        let e = chosen.estimate;
        let reason = format!(
            "score {:.1} (wait {:.1} ms, prefill {:.1} ms, cached {} of {} tokens); {} weighed, {} passed over",
            e.score, e.wait_ms, e.prefill_ms, e.cached_tokens, self.prompt.tokens,
            decision.weighed, decision.passed_over,
        );
        let next = decision.runner_up.as_ref();
        let next = next.map(|c| format!("{} score {:.1}", c.endpoint, c.estimate.score));
        let choice = (chosen.endpoint.as_str(), next.as_deref().unwrap_or(""));
        record_choice(self.shared, &self.call, "route", choice, reason);
    }

    fn dispatch(&mut self, hop: &Hop, pending: &Pending, endpoint: String, address: String) {
        let now = self.shared.now();
        let planned = self.planned.take();
        self.count(pending, planned.as_ref());
        let attempt = Attempt::new(endpoint.clone(), address, now);
        let request = self.generate(pending, planned);
        self.enlist(pending, &endpoint, now);
        let span = hop.child("attempt");
        span.set("endpoint", endpoint);
        attempt.generate(self.shared, pending.attempt, request, self.sender.clone());
        self.attempts.insert(pending.attempt, attempt);
        if pending.cause == Cause::First && self.call.priority < Priority::BATCH {
            let target = Duration::from_millis(self.call.team.target_ms as u64);
            self.hedge_at = Some(now + target * HEDGE_TARGETS);
        }
    }

    fn count(&self, pending: &Pending, planned: Option<&Planned>) {
        let metrics = &self.shared.metrics;
        metrics.count(Counter::Attempts);
        match pending.cause {
            Cause::Retry => metrics.count(Counter::Retries),
            Cause::Hedge => metrics.count(Counter::Hedges),
            Cause::First | Cause::Move => {}
        }
        let kept = planned.is_some_and(|p| p.kv.is_some() || p.resume.is_some());
        let again = pending.attempt > 1 || pending.from > 0;
        if again && !kept && pending.cause != Cause::Hedge {
            metrics.add(
                Counter::Recomputed,
                u64::from(self.prompt.tokens) + pending.from,
            );
        }
    }

    fn generate(&self, pending: &Pending, planned: Option<Planned>) -> Generate {
        let (kv, resume) = planned.map_or((None, None), |p| (p.kv, p.resume));
        let (kv_address, kv_stream) = kv.unzip();
        Generate {
            request: self.call.id.clone(),
            attempt: pending.attempt,
            model: self.chat.model.clone(),
            prompt: self.texts.clone(),
            max_tokens: self.max_tokens(),
            priority: self.call.priority.0,
            received: self.received.clone(),
            from: pending.from,
            resume,
            kv_address,
            kv_stream,
        }
    }

    fn max_tokens(&self) -> u32 {
        self.chat.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    fn enlist(&self, pending: &Pending, endpoint: &str, now: Duration) {
        let live = Live {
            endpoint: endpoint.to_string(),
            stream: None,
            pool: self.pool.name.clone(),
            attempt: pending.attempt,
            priority: self.call.priority,
            deadline: self.call.deadline,
            started: now,
            prompt_tokens: u64::from(self.prompt.tokens),
            given: Arc::clone(&self.given),
            max_tokens: u64::from(self.max_tokens()),
            repeatable: self.call.repeatable.unwrap_or(true),
            streams: true,
            events: self.sender.clone(),
        };
        let mut traffic = self.shared.traffic();
        traffic.live.insert(self.id, live);
        // A leave that came between the choice and this line has not seen the request.
        let state = traffic.router.state(endpoint);
        if state.is_some_and(|s| s.leaving_at.is_some()) {
            let event = RunEvent::Leaving {
                attempt: pending.attempt,
                plan: Move::Requeue,
            };
            let _ = self.sender.send(event);
        }
    }

    // A request that was accepted and has begun looks again until its deadline; one that has not
    // begun is refused at once.
    fn without_endpoint(&mut self, hop: &Hop, pending: Pending, now: Duration) {
        if pending.cause == Cause::First {
            let attempt = pending.attempt;
            return self.step(hop, Event::NoEndpoint { attempt });
        }
        let cause = Cause::Move;
        self.pending.push(Pending {
            not_before: now + LOOK_AGAIN,
            cause,
            ..pending
        });
    }

    fn emit(&mut self, attempt: u32, offset: u64, text: String) -> bool {
        let now = self.shared.now();
        self.last_output = now;
        self.hedge_at = None;
        self.shared.metrics.count(Counter::Tokens);
        if !self.first_token {
            self.first_token = true;
            self.shared
                .metrics
                .time(Timer::FirstToken, now - self.call.arrived);
            if let Some(known) = self.attempts.get(&attempt) {
                self.shared.traffic().router.answered(&known.endpoint);
            }
        }
        self.received.push(text.clone());
        self.given.store(offset + 1, Ordering::Relaxed);
        if !self.chat.stream {
            return self.output.collect(&text);
        }
        let completion = self.completion();
        let resume = self.resume_token(attempt, offset);
        let event = completion.event(offset, &text, &resume);
        self.output.send(&self.call.id, &event)
    }

    fn resume_token(&self, attempt: u32, offset: u64) -> String {
        let known = self.attempts.get(&attempt);
        let token = ResumeToken {
            request: self.call.id.clone(),
            team: self.call.team.name.clone(),
            endpoint: known.map(|a| a.endpoint.clone()).unwrap_or_default(),
            stream: known.and_then(|a| a.stream.clone()).unwrap_or_default(),
            attempt: attempt as i32,
            offset: offset as i64 + 1,
            body_sha256: self.body_sha256.clone(),
            expires: unix_millis() / 1000 + RESUME_SECS,
        };
        transport::issue(&self.shared.resume_key, &token)
    }

    fn completion(&self) -> Completion {
        Completion {
            id: self.call.id.clone(),
            model: self.chat.model.clone(),
        }
    }

    fn conclude(&mut self) {
        let now = self.shared.now();
        self.settle_attempts(now);
        let outcome = self.outcome.unwrap_or(Outcome::Abandoned);
        record(
            self.shared,
            &self.call,
            "finish",
            "",
            format!("{outcome:?}"),
        );
        self.shared
            .metrics
            .time(Timer::Whole, now - self.call.arrived);
        let output = std::mem::replace(&mut self.output, Output::Gone);
        match outcome {
            Outcome::Done { total } => {
                self.shared.metrics.count(Counter::Done);
                self.shared.traffic().succeeded();
                output.finish(&self.completion(), total, self.chat.stream);
            }
            Outcome::Refused(reason) => {
                self.shared.metrics.count(Counter::Refused);
                output.fail(&self.call.id, refusal(reason));
            }
            Outcome::Failed(reason) => {
                self.shared.metrics.count(Counter::Failed);
                output.fail(&self.call.id, failure(reason));
            }
            Outcome::Abandoned => self.shared.metrics.count(Counter::Abandoned),
        }
    }

    // The attempt that delivered the end is over without having been cancelled.
    fn settle_attempts(&mut self, now: Duration) {
        for attempt in std::mem::take(&mut self.attempts).into_values() {
            self.shared
                .traffic()
                .ended(now, &attempt.endpoint, now - attempt.sent);
        }
    }
}
