//! Compact records of decisions, bounded, for `croftpond explain`.

use std::collections::VecDeque;

use serde::Serialize;

/// Records kept at a node.
const MAX_RECORDS: usize = 4096;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request: String,
    /// Milliseconds since the node started.
    pub at_ms: u64,
    /// What was decided: admit, route, move, claim, finish and so on.
    pub step: &'static str,
    /// What was chosen.
    pub choice: String,
    /// What stood next to it.
    pub runner_up: String,
    /// Why, with the inputs.
    pub reason: String,
}

/// The newest records.
#[derive(Debug, Default)]
pub struct Records {
    records: VecDeque<DecisionRecord>,
}

impl Records {
    /// Adds a record; the oldest one goes when there are too many.
    pub fn add(&mut self, record: DecisionRecord) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// All records of a request, the oldest first.
    pub fn of(&self, request: &str) -> Vec<DecisionRecord> {
        let matching = self.records.iter().filter(|r| r.request == request);
        matching.cloned().collect()
    }
}
