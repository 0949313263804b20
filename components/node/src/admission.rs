//! Admission of one request, and giving back what it took.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use errors::{Kind, Problem};
use flume::{Receiver, RecvTimeoutError, Sender};
use limits::{AdmissionDecision, Waiter};
use telemetry::Counter;

use crate::attempt::RunEvent;
use crate::call::Call;
use crate::explain::DecisionRecord;
use crate::shared::Shared;

/// What an admitted request holds until it is dropped.
pub struct Admission {
    shared: Arc<Shared>,
    team: String,
    charged_milli: u64,
    spent_milli: Cell<Option<u64>>,
    /// Number of the request at this node.
    pub id: u64,
}

impl Admission {
    /// Sets what the request cost in the end; otherwise it costs what it was charged.
    pub fn spent(&self, milli: u64) {
        self.spent_milli.set(Some(milli));
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut traffic = self.shared.traffic();
        let spent = self.spent_milli.get().unwrap_or(self.charged_milli);
        let unspent = self.charged_milli.saturating_sub(spent);
        traffic.release_team(now, &self.team, unspent);
        traffic.forget(self.id);
        traffic.release_waiters(now);
    }
}

/// Admits a request to a pool, waiting in its class's queue if need be.
pub fn admit(
    shared: &Arc<Shared>,
    call: &Call,
    pool: &str,
    cost_milli: u64,
    (sender, receiver): (&Sender<RunEvent>, &Receiver<RunEvent>),
) -> Result<Admission, Problem> {
    let now = shared.now();
    let refused = shared
        .traffic()
        .admit(now, &call.team.name, cost_milli)
        .err();
    if let Some(refused) = refused {
        let limit = refused.limit_name();
        record(shared, call, "admit", "refused", format!("team {limit}"));
        let message = format!("team {} is at its limit of {limit}", call.team.name);
        return Err(Problem::not_run(Kind::TeamLimit, message)
            .with_retry_after_ms(refused.retry_after().as_millis() as u64));
    }
    let id = shared.next_id();
    let admission = Admission {
        shared: Arc::clone(shared),
        team: call.team.name.clone(),
        charged_milli: cost_milli,
        // Until it is let in it costs nothing.
        spent_milli: Cell::new(Some(0)),
        id,
    };
    let waiter = Waiter {
        priority: call.priority,
        deadline: call.deadline,
        id,
    };
    let verdict = shared.traffic().enter(now, pool, waiter, sender);
    match verdict {
        AdmissionDecision::Run => {}
        AdmissionDecision::Wait => wait(shared, call, receiver)?,
        AdmissionDecision::Shed(after) => return Err(shed(shared, call, after)),
    }
    admission.spent_milli.set(None);
    shared.metrics.count(Counter::Accepted);
    record(
        shared,
        call,
        "admit",
        "accepted",
        format!("waited {:?}", shared.now() - now),
    );
    Ok(admission)
}

fn wait(shared: &Shared, call: &Call, receiver: &Receiver<RunEvent>) -> Result<(), Problem> {
    record(
        shared,
        call,
        "admit",
        "wait",
        "the pool is near its capacity".into(),
    );
    loop {
        let left = call.deadline.saturating_sub(shared.now());
        match receiver.recv_timeout(left) {
            Ok(RunEvent::Admitted) => return Ok(()),
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                let message = "the deadline passed while the request waited for an endpoint";
                return Err(Problem::not_run(Kind::DeadlinePassed, message));
            }
        }
    }
}

fn shed(shared: &Shared, call: &Call, after: Duration) -> Problem {
    record(
        shared,
        call,
        "admit",
        "shed",
        "higher classes need the endpoints".into(),
    );
    Problem::not_run(Kind::Overloaded, "the pool is overloaded for this class")
        .with_retry_after_ms(after.as_millis() as u64)
}

/// Keeps a record of a decision.
pub fn record(shared: &Shared, call: &Call, step: &'static str, choice: &str, reason: String) {
    record_choice(shared, call, step, (choice, ""), reason);
}

/// Keeps a record of a decision with its runner-up.
pub fn record_choice(
    shared: &Shared,
    call: &Call,
    step: &'static str,
    (choice, runner_up): (&str, &str),
    reason: String,
) {
    let record = DecisionRecord {
        request: call.id.clone(),
        at_ms: shared.now().as_millis() as u64,
        step,
        choice: choice.to_string(),
        runner_up: runner_up.to_string(),
        reason,
    };
    if let Ok(mut records) = shared.records.lock() {
        records.add(record);
    }
}
