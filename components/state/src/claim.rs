//! A claim on an idempotency key, which lets a request run at most once even if answers of the table are lost.
//!
//! The request is dispatched only after its own row is confirmed to be in the table, and only before its deadline. A claim
//! that was never dispatched is closed by a `NOT_RUN` row, which also makes an insert that takes effect late fail.

use std::time::Duration;

use schema::messages::{ClaimRow, ClaimState};

use crate::table::{Reply, Row, TableCall, Write, ABSENT};

/// First backoff before a table call is repeated; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest backoff between table calls.
const MAX_BACKOFF: Duration = Duration::from_millis(640);
/// Writes tried to close or complete a claim before the row is left as it is.
const MAX_CLOSING_WRITES: u32 = 12;

/// The request that a claim is made for.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Key of the row, made of the team and its idempotency key.
    pub key: String,
    /// Unique id of this claim.
    pub claim_id: String,
    /// Node that makes the claim.
    pub node: String,
    /// SHA-256 of the request, to detect that the key was used for another request.
    pub request_sha256: String,
    /// Deadline for the dispatch of the request.
    pub deadline: Duration,
}

/// An outcome stored for callers that repeat the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredOutcome {
    /// HTTP status.
    pub status: i32,
    /// HTTP body.
    pub body: String,
}

/// An event that a claim handles.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A table call ended. Replies to any but the last requested call are ignored.
    Replied {
        /// Number of the call.
        call: u32,
        /// Its reply.
        reply: Reply,
    },
    /// The requested wake-up time was reached, or the deadline passed.
    Tick,
    /// The dispatched request has an outcome to store.
    Completed(StoredOutcome),
    /// The dispatched request is known not to have started.
    NotStarted,
}

/// An action that a claim requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Make a table call and pass its reply to the claim.
    Call {
        /// Number of the call.
        call: u32,
        /// The call.
        table: TableCall,
    },
    /// Send [`ClaimEvent::Tick`] at this time.
    WakeAt(Duration),
    /// Dispatch the request: the claim is made and no other caller will run it.
    Dispatch,
    /// Answer with the stored outcome of an earlier run.
    AnswerStored(StoredOutcome),
    /// Answer that the key was already used for another request.
    AnswerKeyReused,
    /// Answer that another run is in progress or its outcome is unknown.
    AnswerUnknown,
    /// Answer that the request was not run.
    AnswerNotRun,
    /// No further actions follow.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Inserting,
    Reading,
    BackingOff,
    Dispatched,
    Closing,
    Closed,
}

/// State machine of one claim.
#[derive(Debug)]
pub struct Claim {
    request: ClaimRequest,
    stage: Stage,
    expect: u64,
    backoff: Duration,
    // A row of another claim was read that is not closed as `NOT_RUN`, so this claim cannot be dispatched.
    is_held_by_other: bool,
    // An unanswered insert of this claim may have taken effect or may still do so.
    may_be_inserted: bool,
    final_row: Option<ClaimRow>,
    closing_writes: u32,
    call: u32,
}

impl Claim {
    /// Creates a claim and returns its first table call.
    pub fn start(request: ClaimRequest) -> (Self, Vec<ClaimAction>) {
        let mut claim = Claim {
            request,
            stage: Stage::Inserting,
            expect: ABSENT,
            backoff: INITIAL_BACKOFF,
            is_held_by_other: false,
            may_be_inserted: false,
            final_row: None,
            closing_writes: 0,
            call: 0,
        };
        let actions = claim.insert();
        (claim, actions)
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Duration, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Completed(outcome) => self.complete(outcome),
            ClaimEvent::NotStarted => self.close_as_not_run(),
            ClaimEvent::Replied { call, .. } if call != self.call => Vec::new(),
            ClaimEvent::Replied { reply, .. } if self.stage == Stage::Closing => {
                self.handle_closing_reply(now, reply)
            }
            ClaimEvent::Tick if self.stage == Stage::Closing => self.write_final_row(),
            _ if matches!(self.stage, Stage::Dispatched | Stage::Closed) => Vec::new(),
            _ if now >= self.request.deadline => self.handle_missed_deadline(),
            ClaimEvent::Replied { reply, .. } => self.handle_reply(now, reply),
            ClaimEvent::Tick => self.retry(),
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
        self.numbered_call(TableCall::Read(self.request.key.clone()))
    }

    fn write(&mut self, row: &ClaimRow) -> ClaimAction {
        self.numbered_call(TableCall::Transact(vec![Write {
            key: self.request.key.clone(),
            expect: self.expect,
            value: schema::encode(row).unwrap_or_default(),
        }]))
    }

    fn numbered_call(&mut self, table: TableCall) -> ClaimAction {
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

    fn handle_reply(&mut self, now: Duration, reply: Reply) -> Vec<ClaimAction> {
        match (self.stage, reply) {
            (Stage::Inserting, Reply::Committed { .. }) => self.dispatch(),
            (Stage::Inserting, Reply::Conflict) => self.read(),
            (Stage::Inserting, Reply::Unanswered) => {
                self.may_be_inserted = true;
                self.read()
            }
            (Stage::Reading, Reply::Row(None)) => {
                self.expect = ABSENT;
                self.back_off(now)
            }
            (Stage::Reading, Reply::Row(Some(row))) => self.handle_row(now, &row),
            _ => self.back_off(now),
        }
    }

    fn handle_row(&mut self, now: Duration, row: &Row) -> Vec<ClaimAction> {
        let Ok(found) = schema::decode::<ClaimRow>(&row.value) else {
            return self.back_off(now);
        };
        if found.claim == self.request.claim_id {
            self.expect = row.version - 1;
            return self.dispatch();
        }
        // The row belongs to another claim, so no insert of this claim is in the table.
        self.may_be_inserted = false;
        if found.state == ClaimState::NOT_RUN {
            self.is_held_by_other = false;
            self.expect = row.version;
            return self.insert();
        }
        if found.request_sha256 != self.request.request_sha256 {
            return self.close_with_answer(ClaimAction::AnswerKeyReused);
        }
        if found.state == ClaimState::DONE {
            let outcome = StoredOutcome {
                status: found.status.unwrap_or_default(),
                body: found.body.unwrap_or_default(),
            };
            return self.close_with_answer(ClaimAction::AnswerStored(outcome));
        }
        self.is_held_by_other = true;
        self.back_off(now)
    }

    fn dispatch(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Dispatched;
        self.expect += 1;
        vec![ClaimAction::Dispatch]
    }

    fn back_off(&mut self, now: Duration) -> Vec<ClaimAction> {
        self.stage = Stage::BackingOff;
        let until = (now + self.backoff).min(self.request.deadline);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        vec![ClaimAction::WakeAt(until)]
    }

    fn retry(&mut self) -> Vec<ClaimAction> {
        match self.stage {
            Stage::BackingOff if self.is_held_by_other || self.may_be_inserted => {
                self.read_or_insert()
            }
            Stage::BackingOff => self.insert(),
            _ => Vec::new(),
        }
    }

    // An unanswered insert that a read did not find can safely be repeated: both have the same claim id and expected
    // version, so at most one of them takes effect.
    fn read_or_insert(&mut self) -> Vec<ClaimAction> {
        match self.is_held_by_other {
            true => self.read(),
            false => self.insert(),
        }
    }

    fn handle_missed_deadline(&mut self) -> Vec<ClaimAction> {
        if self.is_held_by_other {
            return self.close_with_answer(ClaimAction::AnswerUnknown);
        }
        let is_inserting = self.stage == Stage::Inserting;
        if !is_inserting && !self.may_be_inserted {
            return self.close_with_answer(ClaimAction::AnswerNotRun);
        }
        let mut actions = vec![ClaimAction::AnswerNotRun];
        actions.extend(self.close_as_not_run());
        actions
    }

    fn close_with_answer(&mut self, answer: ClaimAction) -> Vec<ClaimAction> {
        self.stage = Stage::Closed;
        vec![answer, ClaimAction::Closed]
    }

    fn complete(&mut self, outcome: StoredOutcome) -> Vec<ClaimAction> {
        self.final_row = Some(self.row(ClaimState::DONE, Some(&outcome)));
        self.write_final_row()
    }

    fn close_as_not_run(&mut self) -> Vec<ClaimAction> {
        self.final_row = Some(self.row(ClaimState::NOT_RUN, None));
        self.write_final_row()
    }

    fn write_final_row(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Closing;
        self.closing_writes += 1;
        match self.final_row.clone() {
            Some(row) if self.closing_writes <= MAX_CLOSING_WRITES => vec![self.write(&row)],
            _ => self.finish(),
        }
    }

    fn handle_closing_reply(&mut self, now: Duration, reply: Reply) -> Vec<ClaimAction> {
        match reply {
            Reply::Committed { .. } => self.finish(),
            Reply::Conflict | Reply::Unanswered => vec![self.read_call()],
            Reply::Refused => self.back_off_closing(now),
            Reply::Row(row) => self.handle_closing_row(now, row),
        }
    }

    fn handle_closing_row(&mut self, now: Duration, row: Option<Row>) -> Vec<ClaimAction> {
        let Some(row) = row else {
            self.expect = ABSENT;
            return self.back_off_closing(now);
        };
        match schema::decode::<ClaimRow>(&row.value) {
            Ok(found) if found.claim != self.request.claim_id => self.finish(),
            Ok(found) if Some(found.state) == self.final_row.as_ref().map(|r| r.state) => {
                self.finish()
            }
            _ => {
                self.expect = row.version;
                self.back_off_closing(now)
            }
        }
    }

    fn back_off_closing(&mut self, now: Duration) -> Vec<ClaimAction> {
        let until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        vec![ClaimAction::WakeAt(until)]
    }

    fn finish(&mut self) -> Vec<ClaimAction> {
        self.stage = Stage::Closed;
        vec![ClaimAction::Closed]
    }
}
