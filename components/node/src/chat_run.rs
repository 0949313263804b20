//! The run of one chat completion: its attempts, and the answer to its caller.

mod answer;
mod dispatch;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use fleet::Move;
use flume::{Receiver, RecvTimeoutError, Sender};
use routing::Prompt;
use schema::settings::{Pool, Priority};
use session::{Action, Cause, Event, Failure, Outcome, Session, Terms};
use telemetry::{Counter, RequestSpan};
use tiny_http::Request;
use transport::{AttemptEnd, ChatRequest, GenerationEvent};

use crate::admission::record;
use crate::attempt::{Attempt, RunEvent};
use crate::call::Call;
use crate::chat::Resumed;
use crate::output::Output;
use crate::shared::Shared;

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
    // Offset at which this node took the request up.
    resumed_at: u64,
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
        let resumed_at = received.len() as u64;
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
            resumed_at,
            call,
            chat,
            pool,
        }
    }

    /// Tokens that the caller got from this node.
    pub fn given(&self) -> u64 {
        self.received.len() as u64 - self.resumed_at
    }

    /// Runs to the end and answers the caller.
    pub fn serve(&mut self, request: Request, hop: &RequestSpan) {
        self.output = Output::Waiting(request);
        self.step(hop, Event::Start);
        while self.outcome.is_none() {
            self.turn(hop);
        }
        self.conclude();
    }

    // Waits for the next event or timer and handles it.
    fn turn(&mut self, hop: &RequestSpan) {
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

    fn take_timers(&mut self, hop: &RequestSpan) {
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

    fn heartbeat(&mut self, hop: &RequestSpan, now: Duration) {
        self.last_output = now;
        for attempt in self.attempts.values_mut().filter(|a| a.stream.is_none()) {
            attempt.heard = now;
        }
        if self.chat.stream && !self.output.heartbeat(&self.call.id) {
            self.step(hop, Event::CallerGone);
        }
    }

    fn take(&mut self, hop: &RequestSpan, event: RunEvent) {
        match event {
            RunEvent::Piece { attempt, piece } => self.take_piece(hop, attempt, piece),
            RunEvent::Ended { attempt, end } => self.fail(hop, attempt, end),
            RunEvent::Leaving { attempt, plan } => self.relocate(hop, attempt, plan),
            RunEvent::Yield { attempt } => self.make_room(hop, attempt),
            RunEvent::Admitted => self.readmitted(hop),
            RunEvent::Answered { .. } | RunEvent::Table { .. } => {}
        }
    }

    fn take_piece(&mut self, hop: &RequestSpan, attempt: u32, piece: GenerationEvent) {
        let now = self.shared.now();
        let Some(known) = self.attempts.get_mut(&attempt) else {
            return;
        };
        known.heard = now;
        let event = match piece {
            GenerationEvent::Stream(stream) => {
                known.stream = Some(stream.clone());
                let mut traffic = self.shared.traffic();
                if let Some(live) = traffic.live.get_mut(&self.id) {
                    live.stream = Some(stream);
                }
                return;
            }
            GenerationEvent::Token { offset, text } => Event::Part {
                attempt,
                offset,
                part: text,
            },
            GenerationEvent::End(total) => Event::End { attempt, total },
        };
        self.step(hop, event);
    }

    // An attempt's thread ends after its last piece; what is missing then will not come.
    fn fail(&mut self, hop: &RequestSpan, attempt: u32, end: AttemptEnd) {
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

    fn relocate(&mut self, hop: &RequestSpan, attempt: u32, plan: Move) {
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
    fn make_room(&mut self, hop: &RequestSpan, attempt: u32) {
        if !self.attempts.contains_key(&attempt) || self.call.priority != Priority::BATCH {
            return;
        }
        self.shared.metrics.count(Counter::Preemptions);
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

    fn readmitted(&mut self, hop: &RequestSpan) {
        let now = self.shared.now();
        self.yielding = false;
        for pending in &mut self.pending {
            pending.not_before = now;
        }
        self.send_due(hop, now);
    }

    fn step(&mut self, hop: &RequestSpan, event: Event<String>) {
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
}
