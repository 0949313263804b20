//! The promises of a request, over random interleavings of loss, delay, doubling and moves.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck, TestResult, Testable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{Action, Cause, Event, Failure, Outcome, Reason, Session, Terms};

const TOTAL: u64 = 12;
const STEPS: usize = 400;
const SEED: u64 = 20261202;
const CASES: u64 = 2000;

fn terms(repeatable: bool) -> Terms {
    Terms {
        repeatable,
        deadline: Duration::from_millis(STEPS as u64 / 2),
        max_attempts: 4,
        jitter_milli: 500,
        from: 0,
    }
}

/// What one random run showed.
#[derive(Default)]
struct Seen {
    parts: Vec<(u64, u64, u32)>,
    started: u32,
    outcome: Option<Outcome>,
    finishes: u32,
    after_finish: usize,
    attempts: Vec<u32>,
}

/// Endpoints with lossy, doubling and reordering wires: what they sent is picked at random.
struct Wire {
    sent: Vec<Event<(u32, u64)>>,
}

impl Wire {
    // Each attempt gives its own text, so that a mixture of two attempts can be seen.
    fn run(&mut self, attempt: u32, from: u64, cut: Option<u64>) {
        let last = cut.unwrap_or(TOTAL);
        for offset in from..last {
            let part = (attempt, offset);
            self.sent.push(Event::Part {
                attempt,
                offset,
                part,
            });
        }
        match cut {
            None => self.sent.push(Event::End {
                attempt,
                total: TOTAL,
            }),
            Some(_) => self.sent.push(Event::Failed {
                attempt,
                failure: Failure::Unknown,
            }),
        }
    }
}

fn run(seed: u64, repeatable: bool, faults: bool) -> Seen {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut session = Session::new(terms(repeatable));
    let mut wire = Wire { sent: Vec::new() };
    let mut seen = Seen::default();
    let mut queue = session.step(Duration::ZERO, Event::Start);
    for step in 0..STEPS {
        for action in queue.drain(..) {
            note(action, &mut seen, &mut wire, &mut rng, faults);
        }
        let now = Duration::from_millis(step as u64 / 2);
        let event = next_event(&mut wire, &mut rng, &seen, faults);
        queue = session.step(now, event);
        if seen.outcome.is_some() {
            seen.after_finish += queue.len();
        }
    }
    seen
}

fn note(
    action: Action<(u32, u64)>,
    seen: &mut Seen,
    wire: &mut Wire,
    rng: &mut ChaCha8Rng,
    faults: bool,
) {
    match action {
        Action::Dispatch { attempt, from, .. } => {
            seen.attempts.push(attempt);
            if faults && rng.random_ratio(1, 16) {
                wire.sent.push(Event::NoEndpoint { attempt });
                return;
            }
            if faults && rng.random_ratio(1, 4) {
                let failure = Failure::NotStarted;
                wire.sent.push(Event::Failed { attempt, failure });
                return;
            }
            seen.started += 1;
            let cut = (faults && rng.random_ratio(1, 2)).then(|| rng.random_range(from..=TOTAL));
            wire.run(attempt, from, cut);
        }
        Action::Emit {
            attempt,
            offset,
            part,
        } => seen.parts.push((offset, part.1, attempt)),
        Action::Cancel { .. } => {}
        Action::Finish(outcome) => {
            seen.finishes += 1;
            seen.outcome = Some(outcome);
        }
    }
}

fn next_event(
    wire: &mut Wire,
    rng: &mut ChaCha8Rng,
    seen: &Seen,
    faults: bool,
) -> Event<(u32, u64)> {
    let attempt = seen.attempts.last().copied().unwrap_or(0);
    if faults {
        match rng.random_range(0..40) {
            0 => return Event::Move { attempt },
            1 => return Event::Hedge,
            _ => {}
        }
    }
    if wire.sent.is_empty() {
        return Event::Tick;
    }
    let index = rng.random_range(0..wire.sent.len().min(4));
    if faults && rng.random_ratio(1, 8) {
        return wire.sent[index].clone();
    }
    wire.sent.remove(index)
}

fn check<A: Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .max_tests(CASES * 10)
        .quickcheck(property);
}

#[test]
fn caller_gets_each_offset_once_and_in_order() {
    fn property(seed: u64) -> bool {
        let seen = run(seed, true, true);
        seen.parts
            .iter()
            .enumerate()
            .all(|(i, (at, is, _))| *at == i as u64 && at == is)
    }
    check(property as fn(u64) -> bool);
}

#[test]
fn an_answer_called_done_is_whole() {
    fn property(seed: u64) -> TestResult {
        let seen = run(seed, true, true);
        match seen.outcome {
            Some(Outcome::Done { total }) => {
                TestResult::from_bool(total == TOTAL && seen.parts.len() as u64 == TOTAL)
            }
            _ => TestResult::discard(),
        }
    }
    check(property as fn(u64) -> TestResult);
}

#[test]
fn attempts_never_alternate_in_one_answer() {
    fn property(seed: u64) -> bool {
        let seen = run(seed, true, true);
        seen.parts.windows(2).all(|w| w[0].2 <= w[1].2)
    }
    check(property as fn(u64) -> bool);
}

#[test]
fn not_run_is_said_only_of_what_never_started() {
    fn property(seed: u64, repeatable: bool) -> bool {
        let seen = run(seed, repeatable, true);
        !matches!(seen.outcome, Some(Outcome::Refused(_))) || seen.started == 0
    }
    check(property as fn(u64, bool) -> bool);
}

#[test]
fn a_non_repeatable_request_starts_at_most_once() {
    fn property(seed: u64) -> bool {
        run(seed, false, true).started <= 1
    }
    check(property as fn(u64) -> bool);
}

#[test]
fn every_request_ends_once_and_says_nothing_after() {
    fn property(seed: u64, repeatable: bool) -> bool {
        let seen = run(seed, repeatable, true);
        seen.finishes == 1 && seen.after_finish == 0
    }
    check(property as fn(u64, bool) -> bool);
}

#[test]
fn reordering_alone_never_costs_the_answer() {
    fn property(seed: u64) -> bool {
        run(seed, true, false).outcome == Some(Outcome::Done { total: TOTAL })
    }
    check(property as fn(u64) -> bool);
}

#[test]
fn can_continue_at_the_exact_offset_after_a_move() {
    let mut session: Session<u64> = Session::new(terms(true));
    let now = Duration::ZERO;
    session.step(now, Event::Start);
    session.step(
        now,
        Event::Part {
            attempt: 1,
            offset: 0,
            part: 0,
        },
    );
    let actions = session.step(now, Event::Move { attempt: 1 });
    let dispatch = Action::Dispatch {
        attempt: 2,
        from: 1,
        not_before: now,
        cause: Cause::Move,
    };
    assert_eq!(actions, [Action::Cancel { attempt: 1 }, dispatch]);
    let late = session.step(
        now,
        Event::Part {
            attempt: 1,
            offset: 1,
            part: 1,
        },
    );
    assert_eq!(late, []);
}

#[test]
fn says_not_run_at_a_deadline_before_the_start() {
    let mut session: Session<u64> = Session::new(terms(true));
    let actions = session.step(Duration::from_secs(10), Event::Start);
    assert_eq!(
        actions,
        [Action::Finish(Outcome::Refused(Reason::Deadline))]
    );
}

#[test]
fn a_hedge_that_answers_first_wins_and_the_other_is_cancelled() {
    let mut session: Session<u64> = Session::new(terms(true));
    let now = Duration::ZERO;
    session.step(now, Event::Start);
    session.step(now, Event::Hedge);
    let actions = session.step(
        now,
        Event::Part {
            attempt: 2,
            offset: 0,
            part: 9,
        },
    );
    let emit = Action::Emit {
        attempt: 2,
        offset: 0,
        part: 9,
    };
    assert_eq!(actions, [Action::Cancel { attempt: 1 }, emit]);
}
