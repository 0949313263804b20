//! A table in virtual time that loses calls and answers, and lets calls take effect late.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state::{Reply, Row, TableCall, ABSENT};

struct Timed<T> {
    at: Duration,
    what: T,
}

enum Happening {
    Effect {
        caller: usize,
        call: u32,
        table: TableCall,
        answered: bool,
    },
    Answer {
        caller: usize,
        call: u32,
        // Era of the table when it replied; `None` if it did not.
        era: Option<u64>,
        reply: Reply,
    },
}

/// Answer to a table call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Index of the caller.
    pub caller: usize,
    /// Number of the call.
    pub call: u32,
    /// Era of the table when it replied; `None` if it did not.
    pub era: Option<u64>,
    /// Its reply.
    pub reply: Reply,
}

/// Faults in thousandths of the calls.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Calls that take no effect and get no answer.
    pub lost: u32,
    /// Calls that take effect and get no answer.
    pub lost_answer: u32,
    /// Calls that get no answer and take effect long after.
    pub late_effect: u32,
    /// Calls that the rate limit refuses.
    pub refused: u32,
}

/// No faults.
pub const CALM: Faults = Faults {
    lost: 0,
    lost_answer: 0,
    late_effect: 0,
    refused: 0,
};
/// About half of the calls go wrong in some way.
pub const ROUGH: Faults = Faults {
    lost: 100,
    lost_answer: 150,
    late_effect: 100,
    refused: 100,
};

const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A table shared by numbered callers.
pub struct FakeTable {
    /// What stands in it.
    pub rows: BTreeMap<String, Row>,
    /// Its faults.
    pub faults: Faults,
    /// Randomness of the whole test.
    pub rng: ChaCha8Rng,
    /// Calls taken so far.
    pub calls: u64,
    /// Era; increases by one with each restore.
    pub era: u64,
    snapshot: BTreeMap<String, Row>,
    queue: Vec<Timed<Happening>>,
}

impl FakeTable {
    /// An empty table.
    pub fn new(seed: u64, faults: Faults) -> Self {
        FakeTable {
            rows: BTreeMap::new(),
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls: 0,
            era: 0,
            snapshot: BTreeMap::new(),
            queue: Vec::new(),
        }
    }

    /// Takes a call; its effect and its answer come later, if at all.
    pub fn call(&mut self, now: Duration, caller: usize, call: u32, table: TableCall) {
        self.calls += 1;
        let draw = self.rng.random_range(0..1000);
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        let f = self.faults;
        let unanswered = Happening::Answer {
            caller,
            call,
            era: None,
            reply: Reply::Unanswered,
        };
        let timeout = now + CALL_TIMEOUT;
        if draw < f.lost {
            return self.push(timeout, unanswered);
        }
        if draw < f.lost + f.refused {
            let refused = Happening::Answer {
                caller,
                call,
                era: None,
                reply: Reply::Refused,
            };
            return self.push(now + delay, refused);
        }
        let lost_answer = draw < f.lost + f.refused + f.lost_answer;
        let late = !lost_answer && draw < f.lost + f.refused + f.lost_answer + f.late_effect;
        if lost_answer || late {
            self.push(timeout, unanswered);
        }
        let delay = match late {
            true => CALL_TIMEOUT + Duration::from_millis(self.rng.random_range(1..2000)),
            false => delay,
        };
        let answered = !lost_answer && !late;
        self.push(
            now + delay,
            Happening::Effect {
                caller,
                call,
                table,
                answered,
            },
        );
    }

    /// The answers that have come by `now`, after the effects that have.
    pub fn advance(&mut self, now: Duration) -> Vec<(usize, u32, Reply)> {
        let answers = self.advance_with_eras(now).into_iter();
        answers.map(|a| (a.caller, a.call, a.reply)).collect()
    }

    /// Like [`FakeTable::advance`], with the era of the table in each answer.
    pub fn advance_with_eras(&mut self, now: Duration) -> Vec<Answer> {
        let mut answers = Vec::new();
        loop {
            let due = self.queue.iter().enumerate().filter(|(_, t)| t.at <= now);
            let Some(index) = due.min_by_key(|(_, t)| t.at).map(|(i, _)| i) else {
                return answers;
            };
            let Timed { at, what } = self.queue.remove(index);
            match what {
                Happening::Answer {
                    caller,
                    call,
                    era,
                    reply,
                } => answers.push(Answer {
                    caller,
                    call,
                    era,
                    reply,
                }),
                Happening::Effect {
                    caller,
                    call,
                    table,
                    answered,
                } => {
                    let reply = self.apply(table);
                    if answered {
                        let delay = Duration::from_millis(self.rng.random_range(1..40));
                        self.push(
                            at + delay,
                            Happening::Answer {
                                caller,
                                call,
                                era: Some(self.era),
                                reply,
                            },
                        );
                    }
                }
            }
        }
    }

    /// Replaces the snapshot with the current rows.
    pub fn take_snapshot(&mut self) {
        self.snapshot = self.rows.clone();
    }

    /// Restores the last snapshot and starts a new era, which reuses the versions written since then.
    pub fn restore_snapshot(&mut self) {
        self.rows = self.snapshot.clone();
        self.era += 1;
    }

    fn push(&mut self, at: Duration, what: Happening) {
        self.queue.push(Timed { at, what });
    }

    /// Makes a call take effect at once.
    pub fn apply(&mut self, table: TableCall) -> Reply {
        match table {
            TableCall::Read(key) => Reply::Row(self.rows.get(&key).cloned()),
            TableCall::Transact(writes) => {
                let version = |key: &String| self.rows.get(key).map_or(ABSENT, |r| r.version);
                if writes.iter().any(|w| version(&w.key) != w.expect) {
                    return Reply::Conflict;
                }
                let version = writes.first().map_or(ABSENT, |write| write.expect + 1);
                for write in writes {
                    let row = Row {
                        version: write.expect + 1,
                        value: write.value,
                    };
                    self.rows.insert(write.key, row);
                }
                Reply::Committed { version }
            }
        }
    }
}
