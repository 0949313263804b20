//! Publishing a configuration: one of several racing edits wins, and success is certain to stay.

use std::time::Duration;

use schema::messages::HeadRow;

use crate::table::{head_key, history_key, Reply, Row, TableCall, Write, ABSENT};

/// First pause before a call is made again; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between calls.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// One edit.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// Version that the operator edited.
    pub based_on: i64,
    /// SHA-256 of the new body; the body is in the object store already.
    pub hash: String,
    /// Unique id of this put.
    pub put_id: String,
    /// Who edits.
    pub author: String,
    /// What the edit is for.
    pub note: String,
    /// Time at which the operator is answered.
    pub deadline: Duration,
}

/// What happens to an edit.
#[derive(Clone, Debug)]
pub enum PublishEvent {
    /// The table call asked for last came back.
    Replied(Reply),
    /// The pause asked for is over, or time passed.
    Tick,
}

/// What an edit asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAction {
    /// Make a table call and hand in its reply.
    Call(TableCall),
    /// Send [`PublishEvent::Tick`] at this time.
    WakeAt(Duration),
    /// Answer the operator; nothing follows.
    Answer(PublishOutcome),
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is accepted with this version and stays.
    Accepted(i64),
    /// Another edit came first.
    Conflict {
        /// The newest version.
        version: i64,
        /// Who made the edit that came first.
        author: String,
        /// What it was for.
        note: String,
    },
    /// The table did not settle it in time: read the history to see whether it was accepted.
    Undetermined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    ReadingHead,
    Writing,
    ReadingBack,
    Pausing,
    Over,
}

/// One edit under way.
#[derive(Debug)]
pub struct Publish {
    request: PublishRequest,
    stage: Stage,
    after_pause: Stage,
    head_version: u64,
    pause: Duration,
}

impl Publish {
    /// An edit and its first table call.
    pub fn start(request: PublishRequest) -> (Self, Vec<PublishAction>) {
        let mut publish = Publish {
            request,
            stage: Stage::ReadingHead,
            after_pause: Stage::ReadingHead,
            head_version: ABSENT,
            pause: FIRST_PAUSE,
        };
        let actions = publish.enter(Stage::ReadingHead);
        (publish, actions)
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: PublishEvent) -> Vec<PublishAction> {
        if self.stage == Stage::Over {
            return Vec::new();
        }
        let actions = match event {
            PublishEvent::Replied(reply) => self.take_reply(now, reply),
            PublishEvent::Tick if self.stage == Stage::Pausing => self.enter(self.after_pause),
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
            Stage::ReadingBack => TableCall::Read(history_key(self.number())),
            Stage::Pausing | Stage::Over => return Vec::new(),
        };
        vec![PublishAction::Call(call)]
    }

    fn number(&self) -> i64 {
        self.request.based_on + 1
    }

    fn writes(&self) -> Vec<Write> {
        let row = HeadRow {
            version: self.number(),
            hash: self.request.hash.clone(),
            put: self.request.put_id.clone(),
            author: self.request.author.clone(),
            note: self.request.note.clone(),
        };
        let value = schema::encode(&row).unwrap_or_default();
        let head = Write {
            key: head_key(),
            expect: self.head_version,
            value: value.clone(),
        };
        let history = Write {
            key: history_key(self.number()),
            expect: ABSENT,
            value,
        };
        vec![head, history]
    }

    fn take_reply(&mut self, now: Duration, reply: Reply) -> Vec<PublishAction> {
        match (self.stage, reply) {
            (Stage::ReadingHead, Reply::Row(row)) => self.take_head(row),
            (Stage::Writing, Reply::Committed { .. }) => {
                self.answer(PublishOutcome::Accepted(self.number()))
            }
            (Stage::Writing, Reply::Conflict | Reply::Unanswered) => self.enter(Stage::ReadingBack),
            (Stage::ReadingBack, Reply::Row(None)) => self.retry(now, Stage::ReadingHead),
            (Stage::ReadingBack, Reply::Row(Some(row))) => self.take_history(now, &row),
            (stage, _) => self.retry(now, stage),
        }
    }

    fn take_head(&mut self, row: Option<Row>) -> Vec<PublishAction> {
        let head = row
            .as_ref()
            .and_then(|r| schema::decode::<HeadRow>(&r.value).ok());
        let newest = head.as_ref().map_or(0, |h| h.version);
        if newest == self.request.based_on {
            self.head_version = row.map_or(ABSENT, |r| r.version);
            return self.enter(Stage::Writing);
        }
        match head {
            // Our own write may stand, with or without others after it.
            Some(head) if head.version >= self.number() => self.enter(Stage::ReadingBack),
            head => self.answer(conflict(newest, head)),
        }
    }

    fn take_history(&mut self, now: Duration, row: &Row) -> Vec<PublishAction> {
        match schema::decode::<HeadRow>(&row.value) {
            Ok(found) if found.put == self.request.put_id => {
                self.answer(PublishOutcome::Accepted(found.version))
            }
            Ok(found) => self.answer(conflict(found.version, Some(found))),
            Err(_) => self.retry(now, Stage::ReadingBack),
        }
    }

    fn retry(&mut self, now: Duration, stage: Stage) -> Vec<PublishAction> {
        self.stage = Stage::Pausing;
        self.after_pause = stage;
        let until = (now + self.pause).min(self.request.deadline);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        vec![PublishAction::WakeAt(until)]
    }

    fn answer(&mut self, published: PublishOutcome) -> Vec<PublishAction> {
        self.stage = Stage::Over;
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
