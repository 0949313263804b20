//! A claim on an idempotency key: at most one run, whatever answers are lost.
//!
//! The request is dispatched only after its own row is known to stand in the table, and only
//! before its deadline. A claim that was never dispatched is closed by a row that says so; that
//! row also stops an insert that takes effect late.

use std::time::Duration;

use schema::messages::{ClaimRow, ClaimState};

use crate::table::{Reply, Row, TableCall, Write, ABSENT};

/// First pause before a table call is made again; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between table calls.
const MAX_PAUSE: Duration = Duration::from_millis(640);
/// Calls made to close or complete a claim before the row is left as it is.
const MAX_CLOSING_CALLS: u32 = 12;

/// What a claim is for.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Key of the row, from the team and its idempotency key.
    pub key: String,
    /// Unique id of this claim.
    pub claim_id: String,
    /// Node that claims.
    pub node: String,
    /// SHA-256 of the request, to report a reused key.
    pub request_sha256: String,
    /// Time until which the request may be dispatched.
    pub deadline: Duration,
}

/// An outcome kept for callers that ask again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredOutcome {
    /// HTTP status.
    pub status: i32,
    /// Body.
    pub body: String,
}

/// What happens to a claim.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A table call came back; only the one asked for last counts.
    Replied {
        /// Number of the call.
        call: u32,
        /// Its reply.
        reply: Reply,
    },
    /// The pause asked for is over, or time passed.
    Tick,
    /// The dispatched request has an outcome to keep.
    Completed(StoredOutcome),
    /// The endpoint proved that the dispatched request did not start.
    NotStarted,
}

/// What a claim asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Make a table call and hand in its reply.
    Call {
        /// Number of the call.
        call: u32,
        /// The call.
        table: TableCall,
    },
    /// Send [`ClaimEvent::Tick`] at this time.
    WakeAt(Duration),
    /// Dispatch the request: it is claimed and nobody else will run it.
    Dispatch,
    /// Answer with the outcome of the run that was made before.
    AnswerStored(StoredOutcome),
    /// Answer that the key belongs to another request.
    AnswerKeyReused,
    /// Answer that another run is under way or its outcome is unknown.
    AnswerUnknown,
    /// Answer that the request was not run.
    AnswerNotRun,
    /// Nothing more will come.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Inserting,
    Reading,
    Pausing,
    Dispatched,
    Closing,
    Closed,
}

/// One claim.
#[derive(Debug)]
pub struct Claim {
    request: ClaimRequest,
    stage: Stage,
    expect: u64,
    pause: Duration,
    // Another claim's row was seen, so this one cannot be dispatched while it stands.
    other_holds: bool,
    // An insert of ours may stand in the table or may yet arrive there.
    may_stand: bool,
    final_row: Option<ClaimRow>,
    closing_calls: u32,
    call: u32,
}

impl Claim {
    /// A claim and its first table call.
    pub fn start(request: ClaimRequest) -> (Self, Vec<ClaimAction>) {
        let mut claim = Claim {
            request,
            stage: Stage::Inserting,
            expect: ABSENT,
            pause: FIRST_PAUSE,
            other_holds: false,
            may_stand: false,
            final_row: None,
            closing_calls: 0,
            call: 0,
        };
        let actions = claim.insert();
        (claim, actions)
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Completed(outcome) => self.complete(outcome),
            ClaimEvent::NotStarted => self.close_as_not_run(),
            ClaimEvent::Replied { call, .. } if call != self.call => Vec::new(),
            ClaimEvent::Replied { reply, .. } if self.stage == Stage::Closing => {
                self.closing_reply(now, reply)
            }
            ClaimEvent::Tick if self.stage == Stage::Closing => self.closing_call(),
            _ if matches!(self.stage, Stage::Dispatched | Stage::Closed) => Vec::new(),
            _ if now >= self.request.deadline => self.miss_deadline(),
            ClaimEvent::Replied { reply, .. } => self.take_reply(now, reply),
            ClaimEvent::Tick => self.resume(),
        }
    }

    fn insert(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Inserting;
        let row = self.row(ClaimState::CLAIMED, None);
        vec![self.write(&row)]
    }

    fn read(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Reading;
        vec![self.read_call()]
    }

    fn read_call(&mut self) -> ClaimAction {
        self.number(TableCall::Read(self.request.key.clone()))
    }

    fn write(&mut self, row: &ClaimRow) -> ClaimAction {
        self.number(TableCall::Transact(vec![Write {
            key: self.request.key.clone(),
            expect: self.expect,
            value: schema::encode(row).unwrap_or_default(),
        }]))
    }

    fn number(&mut self, table: TableCall) -> ClaimAction {
        self.call += 1;
        ClaimAction::Call {
            call: self.call,
            table,
        }
    }

    fn row(&self, state: ClaimState, outcome: Option<&StoredOutcome>) -> ClaimRow {
        ClaimRow {
            claim: self.request.claim_id.clone(),
            node: self.request.node.clone(),
            state,
            request_sha256: self.request.request_sha256.clone(),
            status: outcome.map(|o| o.status),
            body: outcome.map(|o| o.body.clone()),
        }
    }

    fn take_reply(&mut self, now: Duration, reply: Reply) -> Vec<ClaimAction> {
        match (self.stage, reply) {
            (Stage::Inserting, Reply::Committed { .. }) => self.dispatch(),
            (Stage::Inserting, Reply::Conflict) => self.read(),
            (Stage::Inserting, Reply::Unanswered) => {
                self.may_stand = true;
                self.read()
            }
            (Stage::Reading, Reply::Row(None)) => {
                self.expect = ABSENT;
                self.wait(now)
            }
            (Stage::Reading, Reply::Row(Some(row))) => self.take_row(now, &row),
            _ => self.wait(now),
        }
    }

    fn take_row(&mut self, now: Duration, row: &Row) -> Vec<ClaimAction> {
        let Ok(found) = schema::decode::<ClaimRow>(&row.value) else {
            return self.wait(now);
        };
        if found.claim == self.request.claim_id {
            self.expect = row.version - 1;
            return self.dispatch();
        }
        // Another's row stands, so no insert of ours does.
        self.may_stand = false;
        if found.state == ClaimState::NOT_RUN {
            self.other_holds = false;
            self.expect = row.version;
            return self.insert();
        }
        if found.request_sha256 != self.request.request_sha256 {
            return self.end_with(ClaimAction::AnswerKeyReused);
        }
        if found.state == ClaimState::DONE {
            let outcome = StoredOutcome {
                status: found.status.unwrap_or_default(),
                body: found.body.unwrap_or_default(),
            };
            return self.end_with(ClaimAction::AnswerStored(outcome));
        }
        self.other_holds = true;
        self.wait(now)
    }

    fn dispatch(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Dispatched;
        self.expect += 1;
        vec![ClaimAction::Dispatch]
    }

    fn wait(&mut self, now: Duration) -> Vec<ClaimAction> {
        self.stage = Stage::Pausing;
        let until = (now + self.pause).min(self.request.deadline);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        vec![ClaimAction::WakeAt(until)]
    }

    fn resume(&mut self) -> Vec<ClaimAction> {
        match self.stage {
            Stage::Pausing if self.other_holds || self.may_stand => self.read_or_insert(),
            Stage::Pausing => self.insert(),
            _ => Vec::new(),
        }
    }

    // After an unanswered insert that a read did not find, inserting again is safe: it carries the
    // same id and the same expected version, so at most one of the two can take effect.
    fn read_or_insert(&mut self) -> Vec<ClaimAction> {
        match self.other_holds {
            true => self.read(),
            false => self.insert(),
        }
    }

    fn miss_deadline(&mut self) -> Vec<ClaimAction> {
        if self.other_holds {
            return self.end_with(ClaimAction::AnswerUnknown);
        }
        let pending = self.stage == Stage::Inserting;
        if !pending && !self.may_stand {
            return self.end_with(ClaimAction::AnswerNotRun);
        }
        let mut actions = vec![ClaimAction::AnswerNotRun];
        actions.extend(self.close_as_not_run());
        actions
    }

    fn end_with(&mut self, answer: ClaimAction) -> Vec<ClaimAction> {
        self.stage = Stage::Closed;
        vec![answer, ClaimAction::Closed]
    }

    fn complete(&mut self, outcome: StoredOutcome) -> Vec<ClaimAction> {
        self.final_row = Some(self.row(ClaimState::DONE, Some(&outcome)));
        self.closing_call()
    }

    fn close_as_not_run(&mut self) -> Vec<ClaimAction> {
        self.final_row = Some(self.row(ClaimState::NOT_RUN, None));
        self.closing_call()
    }

    fn closing_call(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Closing;
        self.closing_calls += 1;
        match self.final_row.clone() {
            Some(row) if self.closing_calls <= MAX_CLOSING_CALLS => vec![self.write(&row)],
            _ => self.closed(),
        }
    }

    fn closing_reply(&mut self, now: Duration, reply: Reply) -> Vec<ClaimAction> {
        match reply {
            Reply::Committed { .. } => self.closed(),
            Reply::Conflict | Reply::Unanswered => vec![self.read_call()],
            Reply::Refused => self.closing_pause(now),
            Reply::Row(row) => self.closing_row(now, row),
        }
    }

    fn closing_row(&mut self, now: Duration, row: Option<Row>) -> Vec<ClaimAction> {
        let Some(row) = row else {
            self.expect = ABSENT;
            return self.closing_pause(now);
        };
        match schema::decode::<ClaimRow>(&row.value) {
            Ok(found) if found.claim != self.request.claim_id => self.closed(),
            Ok(found) if Some(found.state) == self.final_row.as_ref().map(|r| r.state) => {
                self.closed()
            }
            _ => {
                self.expect = row.version;
                self.closing_pause(now)
            }
        }
    }

    fn closing_pause(&mut self, now: Duration) -> Vec<ClaimAction> {
        let until = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        vec![ClaimAction::WakeAt(until)]
    }

    fn closed(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Closed;
        vec![ClaimAction::Closed]
    }
}
