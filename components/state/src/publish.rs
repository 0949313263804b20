//! Publishing a configuration with optimistic concurrency: one of several concurrent edits is accepted, and an accepted
//! edit stays in the history.

use std::time::Duration;

use schema::messages::HeadRow;

use crate::table::{head_key, history_key, Reply, Row, TableCall, Write, ABSENT};

/// First backoff before a table call is repeated; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff between table calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// One edit of the configuration.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// Version that the edit is based on.
    pub based_on: i64,
    /// SHA-256 of the new body, which is already in the object store.
    pub hash: String,
    /// Unique id of this put.
    pub put_id: String,
    /// Author of the edit.
    pub author: String,
    /// Note of the author on the purpose of the edit.
    pub note: String,
    /// Latest time at which the operator is answered.
    pub deadline: Duration,
}

/// An event that an edit handles.
#[derive(Clone, Debug)]
pub enum PublishEvent {
    /// The last requested table call ended.
    Replied(Reply),
    /// The requested wake-up time was reached.
    Tick,
}

/// An action that an edit requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAction {
    /// Make a table call and pass its reply to the edit.
    Call(TableCall),
    /// Send [`PublishEvent::Tick`] at this time.
    WakeAt(Duration),
    /// Answer the operator. No further actions follow.
    Answer(PublishOutcome),
}

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The edit was accepted as this version, which stays in the history.
    Accepted(i64),
    /// Another edit was accepted first.
    Conflict {
        /// Newest version found.
        version: i64,
        /// Author of that version.
        author: String,
        /// Note of that version.
        note: String,
    },
    /// Not known before the deadline. The history shows whether the edit was accepted.
    Undetermined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    ReadingHead,
    Writing,
    ReadingBack,
    BackingOff,
    Answered,
}

/// State machine of one edit.
#[derive(Debug)]
pub struct Publish {
    request: PublishRequest,
    stage: Stage,
    stage_after_backoff: Stage,
    head_row_version: u64,
    backoff: Duration,
}

impl Publish {
    /// Creates an edit and returns its first table call.
    pub fn start(request: PublishRequest) -> (Self, Vec<PublishAction>) {
        let mut publish = Publish {
            request,
            stage: Stage::ReadingHead,
            stage_after_backoff: Stage::ReadingHead,
            head_row_version: ABSENT,
            backoff: INITIAL_BACKOFF,
        };
        let actions = publish.enter(Stage::ReadingHead);
        (publish, actions)
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Duration, event: PublishEvent) -> Vec<PublishAction> {
        if self.stage == Stage::Answered {
            return Vec::new();
        }
        let actions = match event {
            PublishEvent::Replied(reply) => self.handle_reply(now, reply),
            PublishEvent::Tick if self.stage == Stage::BackingOff => {
                self.enter(self.stage_after_backoff)
            }
            PublishEvent::Tick => Vec::new(),
        };
        let answered = actions
            .iter()
            .any(|a| matches!(a, PublishAction::Answer(_)));
        if !answered && now >= self.request.deadline {
            return self.answer(PublishOutcome::Undetermined);
        }
        actions
    }

    fn enter(&mut self, stage: Stage) -> Vec<PublishAction> {
        self.stage = stage;
        let call = match stage {
            Stage::ReadingHead => TableCall::Read(head_key()),
            Stage::Writing => TableCall::Transact(self.writes()),
            Stage::ReadingBack => TableCall::Read(history_key(self.new_version())),
            Stage::BackingOff | Stage::Answered => return Vec::new(),
        };
        vec![PublishAction::Call(call)]
    }

    fn new_version(&self) -> i64 {
        self.request.based_on + 1
    }

    fn writes(&self) -> Vec<Write> {
        let row = HeadRow {
            version: self.new_version(),
            hash: self.request.hash.clone(),
            put: self.request.put_id.clone(),
            author: self.request.author.clone(),
            note: self.request.note.clone(),
        };
        let value = schema::encode(&row).unwrap_or_default();
        let head = Write {
            key: head_key(),
            expect: self.head_row_version,
            value: value.clone(),
        };
        let history = Write {
            key: history_key(self.new_version()),
            expect: ABSENT,
            value,
        };
        vec![head, history]
    }

    fn handle_reply(&mut self, now: Duration, reply: Reply) -> Vec<PublishAction> {
        match (self.stage, reply) {
            (Stage::ReadingHead, Reply::Row(row)) => self.handle_head(row),
            (Stage::Writing, Reply::Committed { .. }) => {
                self.answer(PublishOutcome::Accepted(self.new_version()))
            }
            (Stage::Writing, Reply::Conflict | Reply::Unanswered) => self.enter(Stage::ReadingBack),
            (Stage::ReadingBack, Reply::Row(None)) => self.back_off(now, Stage::ReadingHead),
            (Stage::ReadingBack, Reply::Row(Some(row))) => self.handle_history(now, &row),
            (stage, _) => self.back_off(now, stage),
        }
    }

    fn handle_head(&mut self, row: Option<Row>) -> Vec<PublishAction> {
        let head = row
            .as_ref()
            .and_then(|r| schema::decode::<HeadRow>(&r.value).ok());
        let newest = head.as_ref().map_or(0, |h| h.version);
        if newest == self.request.based_on {
            self.head_row_version = row.map_or(ABSENT, |r| r.version);
            return self.enter(Stage::Writing);
        }
        match head {
            // The write of this edit may be in the history, possibly followed by other edits.
            Some(head) if head.version >= self.new_version() => self.enter(Stage::ReadingBack),
            head => self.answer(conflict(newest, head)),
        }
    }

    fn handle_history(&mut self, now: Duration, row: &Row) -> Vec<PublishAction> {
        match schema::decode::<HeadRow>(&row.value) {
            Ok(found) if found.put == self.request.put_id => {
                self.answer(PublishOutcome::Accepted(found.version))
            }
            Ok(found) => self.answer(conflict(found.version, Some(found))),
            Err(_) => self.back_off(now, Stage::ReadingBack),
        }
    }

    fn back_off(&mut self, now: Duration, stage: Stage) -> Vec<PublishAction> {
        self.stage = Stage::BackingOff;
        self.stage_after_backoff = stage;
        let until = (now + self.backoff).min(self.request.deadline);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        vec![PublishAction::WakeAt(until)]
    }

    fn answer(&mut self, published: PublishOutcome) -> Vec<PublishAction> {
        self.stage = Stage::Answered;
        vec![PublishAction::Answer(published)]
    }
}

fn conflict(version: i64, row: Option<HeadRow>) -> PublishOutcome {
    PublishOutcome::Conflict {
        version,
        author: row.as_ref().map(|r| r.author.clone()).unwrap_or_default(),
        note: row.map(|r| r.note).unwrap_or_default(),
    }
}
