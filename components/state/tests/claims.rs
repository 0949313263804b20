//! At most one run for an idempotency key, over lost and late table calls, pauses and deaths.

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
    dead: bool,
}

struct World {
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

impl World {
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
            dead: false,
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
            // A paused or dead node takes nothing in; a paused one finds it when it wakes.
            if self.callers[n].dead {
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
            if caller.dead || now < caller.paused_until {
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

fn run(seed: u64, deaths: bool) -> World {
    let mut world = World {
        table: FakeTable::new(seed, ROUGH),
        callers: Vec::new(),
    };
    for step in 0..STEPS {
        let now = STEP * step;
        if world.callers.len() < 4 && world.table.rng.random_ratio(1, 40) {
            let budget = Duration::from_millis(world.table.rng.random_range(50..3000));
            world.add(now, budget);
        }
        if deaths && !world.callers.is_empty() && world.table.rng.random_ratio(1, 400) {
            let n = world.table.rng.random_range(0..world.callers.len());
            world.callers[n].dead = true;
        }
        if !world.callers.is_empty() && world.table.rng.random_ratio(1, 300) {
            let n = world.table.rng.random_range(0..world.callers.len());
            let pause = Duration::from_millis(world.table.rng.random_range(100..2000));
            world.callers[n].paused_until = now + pause;
        }
        world.step(now);
    }
    world
}

fn row(world: &World) -> Option<ClaimRow> {
    world
        .table
        .rows
        .get(KEY)
        .and_then(|r| schema::decode(&r.value).ok())
}

#[test]
fn a_key_runs_at_most_once_whatever_is_lost() {
    check(1500, |seed: u64| {
        let world = run(seed, true);
        world.callers.iter().map(|c| c.runs).sum::<u32>() <= 1
    });
}

#[test]
fn not_run_is_said_only_of_claims_that_were_never_dispatched() {
    check(1500, |seed: u64| {
        let world = run(seed, true);
        world
            .callers
            .iter()
            .all(|c| c.answer != Some(Answer::NotRun) || c.runs == 0)
    });
}

#[test]
fn nobody_is_dispatched_after_its_deadline() {
    check(500, |seed: u64| {
        let world = run(seed, false);
        // A run takes at least 5 ms, so its end shows a start before the deadline.
        world
            .callers
            .iter()
            .all(|c| c.runs == 0 || c.answer == Some(Answer::Ran))
    });
}

#[test]
fn every_caller_that_lives_is_answered() {
    check(500, |seed: u64| {
        let world = run(seed, true);
        world.callers.iter().all(|c| c.dead || c.answer.is_some())
    });
}

#[test]
fn a_second_caller_gets_the_stored_outcome_when_nothing_is_lost() {
    let mut world = World {
        table: FakeTable::new(1, CALM),
        callers: Vec::new(),
    };
    world.add(Duration::ZERO, Duration::from_secs(2));
    (0..200).for_each(|s| world.step(STEP * s));
    world.add(STEP * 200, Duration::from_secs(2));
    (200..400).for_each(|s| world.step(STEP * s));
    let answers: Vec<_> = world.callers.iter().map(|c| c.answer).collect();
    assert_eq!(answers, [Some(Answer::Ran), Some(Answer::Stored)]);
}

#[test]
fn an_insert_that_takes_effect_after_not_run_was_said_is_stopped() {
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
    let mut world = World {
        table: FakeTable::new(1, CALM),
        callers: Vec::new(),
    };
    world.add(Duration::ZERO, Duration::from_secs(2));
    (0..8).for_each(|s| world.step(STEP * s));
    if world.callers[0].runs == 0 {
        (8..40).for_each(|s| world.step(STEP * s));
    }
    let actions = world.callers[0]
        .claim
        .step(STEP * 40, ClaimEvent::NotStarted);
    world.callers[0].finish_at = None;
    world.act(STEP * 40, 0, actions);
    (40..80).for_each(|s| world.step(STEP * s));
    assert_eq!(row(&world).map(|r| r.state), Some(ClaimState::NOT_RUN));
    world.add(STEP * 80, Duration::from_secs(2));
    (80..300).for_each(|s| world.step(STEP * s));
    assert_eq!(world.callers[1].answer, Some(Answer::Ran));
}

#[test]
fn a_key_of_another_request_is_refused() {
    let mut world = World {
        table: FakeTable::new(1, CALM),
        callers: Vec::new(),
    };
    world.add(Duration::ZERO, Duration::from_secs(2));
    (0..200).for_each(|s| world.step(STEP * s));
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
    let reply = world.table.apply(table);
    let actions = claim.step(STEP * 201, ClaimEvent::Replied { call, reply });
    assert_eq!(actions[0], ClaimAction::AnswerKeyReused);
}

#[test]
fn a_table_that_is_down_is_answered_as_not_run_at_the_deadline() {
    let mut world = World {
        table: FakeTable::new(1, ROUGH),
        callers: Vec::new(),
    };
    world.table.faults.lost = 1000;
    world.add(Duration::ZERO, Duration::from_millis(500));
    (0..110).for_each(|s| world.step(STEP * s));
    assert_eq!(world.callers[0].answer, Some(Answer::NotRun));
    assert_eq!(world.callers[0].runs, 0);
}
