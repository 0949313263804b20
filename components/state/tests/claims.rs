//! At most one run per idempotency key with lost and late table calls, paused nodes and crashes.

use std::time::Duration;

use fakes::{check, FakeTable, CALM, ROUGH};
use rand::RngExt;
use schema::messages::{ClaimRow, ClaimState};
use state::{Claim, ClaimAction, ClaimEvent, ClaimRequest, StoredOutcome, TableCall};

const KEY: &str = "claim/desk/k1";
const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 3000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Ran,
    Stored,
    NotRun,
    Unknown,
    KeyReused,
}

struct Caller {
    claim: Claim,
    wake: Option<Duration>,
    deadline: Duration,
    finish_at: Option<Duration>,
    paused_until: Duration,
    runs: u32,
    answer: Option<Answer>,
    has_crashed: bool,
}

struct Simulation {
    table: FakeTable,
    callers: Vec<Caller>,
}

fn claim_request(n: usize, deadline: Duration) -> ClaimRequest {
    ClaimRequest {
        key: KEY.into(),
        claim_id: format!("c{n}"),
        node: format!("n{n}"),
        request_sha256: "same".into(),
        deadline,
    }
}

impl Simulation {
    fn add(&mut self, now: Duration, budget: Duration) {
        let n = self.callers.len();
        let deadline = now + budget;
        let (claim, actions) = Claim::start(claim_request(n, deadline));
        self.callers.push(Caller {
            claim,
            wake: None,
            deadline,
            finish_at: None,
            paused_until: Duration::ZERO,
            runs: 0,
            answer: None,
            has_crashed: false,
        });
        self.act(now, n, actions);
    }

    fn act(&mut self, now: Duration, n: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            let answer = match action {
                ClaimAction::Call { call, table } => {
                    self.table.call(now, n, call, table);
                    continue;
                }
                ClaimAction::WakeAt(at) => {
                    self.callers[n].wake = Some(at);
                    continue;
                }
                ClaimAction::Dispatch => {
                    self.callers[n].runs += 1;
                    let takes = self.table.rng.random_range(5..200);
                    self.callers[n].finish_at = Some(now + Duration::from_millis(takes));
                    continue;
                }
                ClaimAction::Closed => continue,
                ClaimAction::AnswerStored(_) => Answer::Stored,
                ClaimAction::AnswerKeyReused => Answer::KeyReused,
                ClaimAction::AnswerUnknown => Answer::Unknown,
                ClaimAction::AnswerNotRun => Answer::NotRun,
            };
            self.callers[n].answer.get_or_insert(answer);
        }
    }

    fn step(&mut self, now: Duration) {
        for (n, call, reply) in self.table.advance(now) {
            // A crashed node handles no reply. A paused node handles it when it resumes.
            if self.callers[n].has_crashed {
                continue;
            }
            let when = now.max(self.callers[n].paused_until);
            let actions = self.callers[n]
                .claim
                .step(when, ClaimEvent::Replied { call, reply });
            self.act(when, n, actions);
        }
        for n in 0..self.callers.len() {
            let caller = &mut self.callers[n];
            if caller.has_crashed || now < caller.paused_until {
                continue;
            }
            let due = caller.wake.is_some_and(|at| now >= at);
            let late = now >= caller.deadline && caller.answer.is_none() && caller.runs == 0;
            let mut actions = Vec::new();
            if due || late {
                caller.wake = None;
                actions.extend(caller.claim.step(now, ClaimEvent::Tick));
            }
            if caller.finish_at.is_some_and(|at| now >= at) {
                caller.finish_at = None;
                caller.answer.get_or_insert(Answer::Ran);
                let outcome = StoredOutcome {
                    status: 200,
                    body: "held".into(),
                };
                actions.extend(caller.claim.step(now, ClaimEvent::Completed(outcome)));
            }
            self.act(now, n, actions);
        }
    }
}

fn run(seed: u64, has_crashes: bool) -> Simulation {
    let mut simulation = Simulation {
        table: FakeTable::new(seed, ROUGH),
        callers: Vec::new(),
    };
    for step in 0..STEPS {
        let now = STEP * step;
        if simulation.callers.len() < 4 && simulation.table.rng.random_ratio(1, 40) {
            let budget = Duration::from_millis(simulation.table.rng.random_range(50..3000));
            simulation.add(now, budget);
        }
        if has_crashes
            && !simulation.callers.is_empty()
            && simulation.table.rng.random_ratio(1, 400)
        {
            let n = simulation
                .table
                .rng
                .random_range(0..simulation.callers.len());
            simulation.callers[n].has_crashed = true;
        }
        if !simulation.callers.is_empty() && simulation.table.rng.random_ratio(1, 300) {
            let n = simulation
                .table
                .rng
                .random_range(0..simulation.callers.len());
            let pause = Duration::from_millis(simulation.table.rng.random_range(100..2000));
            simulation.callers[n].paused_until = now + pause;
        }
        simulation.step(now);
    }
    simulation
}

fn row(simulation: &Simulation) -> Option<ClaimRow> {
    simulation
        .table
        .rows
        .get(KEY)
        .and_then(|r| schema::decode(&r.value).ok())
}

#[test]
fn a_key_runs_at_most_once_with_lost_calls_and_crashes() {
    check(1500, |seed: u64| {
        let simulation = run(seed, true);
        simulation.callers.iter().map(|c| c.runs).sum::<u32>() <= 1
    });
}

#[test]
fn not_run_is_answered_only_for_claims_that_were_never_dispatched() {
    check(1500, |seed: u64| {
        let simulation = run(seed, true);
        simulation
            .callers
            .iter()
            .all(|c| c.answer != Some(Answer::NotRun) || c.runs == 0)
    });
}

#[test]
fn no_request_is_dispatched_after_its_deadline() {
    check(500, |seed: u64| {
        let simulation = run(seed, false);
        // A run takes at least 5 ms, so a request dispatched after its deadline has another answer before its run ends.
        simulation
            .callers
            .iter()
            .all(|c| c.runs == 0 || c.answer == Some(Answer::Ran))
    });
}

#[test]
fn every_caller_that_does_not_crash_is_answered() {
    check(500, |seed: u64| {
        let simulation = run(seed, true);
        simulation
            .callers
            .iter()
            .all(|c| c.has_crashed || c.answer.is_some())
    });
}

#[test]
fn a_second_caller_gets_the_stored_outcome_when_nothing_is_lost() {
    let mut simulation = Simulation {
        table: FakeTable::new(1, CALM),
        callers: Vec::new(),
    };
    simulation.add(Duration::ZERO, Duration::from_secs(2));
    (0..200).for_each(|s| simulation.step(STEP * s));
    simulation.add(STEP * 200, Duration::from_secs(2));
    (200..400).for_each(|s| simulation.step(STEP * s));
    let answers: Vec<_> = simulation.callers.iter().map(|c| c.answer).collect();
    assert_eq!(answers, [Some(Answer::Ran), Some(Answer::Stored)]);
}

#[test]
fn an_insert_that_arrives_after_not_run_was_answered_conflicts() {
    let (mut claim, actions) = Claim::start(claim_request(0, Duration::from_millis(100)));
    let ClaimAction::Call { table: insert, .. } = actions[0].clone() else {
        panic!()
    };
    let now = Duration::from_millis(100);
    let actions = claim.step(now, ClaimEvent::Tick);
    assert_eq!(actions[0], ClaimAction::AnswerNotRun);
    let ClaimAction::Call {
        table: tombstone, ..
    } = actions[1].clone()
    else {
        panic!()
    };
    let mut table = FakeTable::new(1, CALM);
    table.apply(tombstone);
    assert_eq!(table.apply(insert), state::Reply::Conflict);
}

#[test]
fn a_key_that_was_not_run_can_be_used_again() {
    let mut simulation = Simulation {
        table: FakeTable::new(1, CALM),
        callers: Vec::new(),
    };
    simulation.add(Duration::ZERO, Duration::from_secs(2));
    (0..8).for_each(|s| simulation.step(STEP * s));
    if simulation.callers[0].runs == 0 {
        (8..40).for_each(|s| simulation.step(STEP * s));
    }
    let actions = simulation.callers[0]
        .claim
        .step(STEP * 40, ClaimEvent::NotStarted);
    simulation.callers[0].finish_at = None;
    simulation.act(STEP * 40, 0, actions);
    (40..80).for_each(|s| simulation.step(STEP * s));
    assert_eq!(row(&simulation).map(|r| r.state), Some(ClaimState::NOT_RUN));
    simulation.add(STEP * 80, Duration::from_secs(2));
    (80..300).for_each(|s| simulation.step(STEP * s));
    assert_eq!(simulation.callers[1].answer, Some(Answer::Ran));
}

#[test]
fn a_key_of_another_request_is_refused() {
    let mut simulation = Simulation {
        table: FakeTable::new(1, CALM),
        callers: Vec::new(),
    };
    simulation.add(Duration::ZERO, Duration::from_secs(2));
    (0..200).for_each(|s| simulation.step(STEP * s));
    let other = ClaimRequest {
        request_sha256: "other".into(),
        ..claim_request(1, Duration::from_secs(9))
    };
    let (mut claim, _) = Claim::start(other);
    let conflict = ClaimEvent::Replied {
        call: 1,
        reply: state::Reply::Conflict,
    };
    let read = claim.step(STEP * 200, conflict);
    let ClaimAction::Call { call, table } = read[0].clone() else {
        panic!()
    };
    assert_eq!(table, TableCall::Read(KEY.into()));
    let reply = simulation.table.apply(table);
    let actions = claim.step(STEP * 201, ClaimEvent::Replied { call, reply });
    assert_eq!(actions[0], ClaimAction::AnswerKeyReused);
}

#[test]
fn a_caller_is_answered_not_run_at_the_deadline_when_the_table_is_down() {
    let mut simulation = Simulation {
        table: FakeTable::new(1, ROUGH),
        callers: Vec::new(),
    };
    simulation.table.faults.lost = 1000;
    simulation.add(Duration::ZERO, Duration::from_millis(500));
    (0..110).for_each(|s| simulation.step(STEP * s));
    assert_eq!(simulation.callers[0].answer, Some(Answer::NotRun));
    assert_eq!(simulation.callers[0].runs, 0);
}
