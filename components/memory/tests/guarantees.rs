//! Promises of the ledger and of what is decided from it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use memory::{
    body_patience, slowest, Budget, Delivery, Hold, Kind, Ledger, PauseGate, ReleaseRate, Tables,
    Terms, Turn,
};
use quickcheck::{quickcheck, Arbitrary, Gen};

const MOST: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Hold { account: usize, kind: usize },
    Grow { hold: usize, bytes: u64 },
    Shrink { hold: usize, bytes: u64 },
    Split { hold: usize, bytes: u64 },
    Change { hold: usize, kind: usize },
    Drop { hold: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (account, hold) = (usize::arbitrary(g), usize::arbitrary(g));
        let kind = usize::arbitrary(g) % Kind::ALL.len();
        let bytes = u64::arbitrary(g) % (MOST / 8);
        match u8::arbitrary(g) % 10 {
            0 => Step::Open,
            1 | 2 => Step::Hold { account, kind },
            3..=5 => Step::Grow { hold, bytes },
            6 => Step::Shrink { hold, bytes },
            7 => Step::Split { hold, bytes },
            8 => Step::Change { hold, kind },
            _ => Step::Drop { hold },
        }
    }
}

fn ledger() -> Ledger {
    Ledger::new(Budget::of_bytes(MOST), || {})
}

fn play(ledger: &Ledger, steps: &[Step]) -> Vec<Hold> {
    let mut accounts = vec![ledger.open()];
    let mut holds: Vec<Hold> = vec![accounts[0].hold(Kind::Whole)];
    for step in steps {
        let at = |hold: usize| hold % holds.len().max(1);
        match *step {
            Step::Open => accounts.push(ledger.open()),
            Step::Hold { account, kind } => {
                let account = &accounts[account % accounts.len()];
                holds.push(account.hold(Kind::ALL[kind]));
            }
            _ if holds.is_empty() => {}
            Step::Grow { hold, bytes } => {
                let at = at(hold);
                holds[at].grow(bytes);
            }
            Step::Shrink { hold, bytes } => {
                let at = at(hold);
                holds[at].shrink(bytes);
            }
            Step::Split { hold, bytes } => {
                let at = at(hold);
                let split = holds[at].split(bytes);
                holds.push(split);
            }
            Step::Change { hold, kind } => {
                let at = at(hold);
                holds[at].change(Kind::ALL[kind]);
            }
            Step::Drop { hold } => {
                let at = at(hold);
                holds.swap_remove(at);
            }
        }
        let sum: u64 = holds.iter().map(Hold::bytes).sum();
        let kinds: u64 = Kind::ALL.iter().map(|kind| ledger.held(*kind)).sum();
        assert_eq!((sum, kinds), (ledger.total(), ledger.total()));
        assert!(ledger.total() <= MOST);
    }
    holds
}

quickcheck! {
    fn the_ledger_is_never_over_and_all_is_back_after_every_end(steps: Vec<Step>, from: usize) -> bool {
        let ledger = ledger();
        let mut holds = play(&ledger, &steps);
        while !holds.is_empty() {
            let at = from % holds.len();
            drop(holds.swap_remove(at));
        }
        ledger.total() == 0 && ledger.holders() == 0
    }

    fn a_request_within_its_share_finds_room_while_the_common_part_is_used_up(holders: u8) -> bool {
        let ledger = ledger();
        let hog = ledger.open();
        let mut hogged = hog.hold(Kind::ReadAhead);
        while hogged.grow(1000) {}
        let others: Vec<Hold> = (0..holders)
            .map(|_| {
                let mut hold = ledger.open().hold(Kind::ReadAhead);
                assert!(hold.grow(ledger.budget().share(ledger.holders() + 1)));
                hold
            })
            .collect();
        others.len() == usize::from(holders) && ledger.total() <= MOST
    }
}

#[test]
fn without_a_bound_everything_fits() {
    let ledger = Ledger::new(Budget::of_vm(0, Tables::default()), || {});
    let mut hold = ledger.open().hold(Kind::Whole);
    assert!(hold.grow(u64::MAX / 2));
    assert_eq!(ledger.held(Kind::Whole), u64::MAX / 2);
}

#[test]
fn a_vm_of_160_mib_plans_with_less_than_120() {
    let tables = Tables {
        endpoints: 64,
        gateways: 74,
    };
    let budget = Budget::of_vm(160, tables);
    let most = budget.most.unwrap();
    // What is held, the base of 8 MiB and a tenth that the allocator loses.
    let peak = most + most / 10 + (8 << 20);
    assert!((80 << 20..120 << 20).contains(&peak), "{peak}");
    assert!(Budget::of_vm(160, Tables::default()).most > budget.most);
}

#[test]
fn those_that_wait_hear_of_every_release() {
    let heard = Rc::new(Cell::new(0));
    let count = Rc::clone(&heard);
    let ledger = Ledger::new(Budget::of_bytes(MOST), move || count.set(count.get() + 1));
    let mut hold = ledger.open().hold(Kind::Whole);
    assert!(hold.grow(10));
    hold.shrink(4);
    drop(hold);
    assert_eq!((heard.get(), ledger.released()), (2, 10));
}

#[test]
fn connections_stop_being_taken_before_memory_is_full_and_are_taken_again_well_below() {
    let budget = Budget::of_bytes(100);
    let mut gate = PauseGate::default();
    let turns: Vec<Option<Turn>> = [50, 87, 89, 87, 79, 77, 87]
        .into_iter()
        .map(|held| gate.look(held, budget))
        .collect();
    let (paused, resumed) = (Some(Turn::Paused), Some(Turn::Resumed));
    assert_eq!(turns, [None, None, paused, None, None, resumed, None]);
    assert_eq!(gate.look(u64::MAX, Budget::NONE), None);
}

#[test]
fn the_time_to_come_back_follows_the_rate_of_release() {
    let mut rate = ReleaseRate::default();
    assert_eq!(rate.wait_for(1 << 20), Duration::from_secs(5));
    for second in 1..=20 {
        rate.sample(Duration::from_secs(second), second * 1_000_000);
    }
    let wait = rate.wait_for(2_000_000).as_secs_f64();
    assert!((1.9..2.1).contains(&wait), "{wait}");
    assert_eq!(rate.wait_for(1), Duration::from_millis(100));
}

fn delivery(held: u64, stalled: u64, unread: Option<u64>) -> Delivery {
    Delivery {
        held,
        stalled: Duration::from_secs(stalled),
        unread: unread.map(Duration::from_secs),
    }
}

#[test]
fn the_one_that_holds_most_for_the_longest_time_without_progress_is_ended_first() {
    let deliveries = [
        delivery(1000, 4, None),
        delivery(500, 10, None),
        delivery(0, 100, None),
    ];
    assert_eq!(slowest(&deliveries, Terms::default()), Some(1));
}

#[test]
fn a_caller_that_takes_anything_is_kept_unless_its_endpoint_gave_up() {
    let deliveries = [delivery(1000, 1, Some(9)), delivery(10, 0, None)];
    assert_eq!(slowest(&deliveries, Terms::default()), None);
    let seen = |seconds| Terms {
        cut_after: Some(Duration::from_secs(seconds)),
    };
    assert_eq!(slowest(&deliveries, seen(10)), None);
    assert_eq!(slowest(&deliveries, seen(9)), Some(0));
}

#[test]
fn less_urgent_and_larger_bodies_are_refused_first_and_none_waits_past_an_eighth_of_its_target() {
    let target = Duration::from_secs(2);
    let (small, large) = (1 << 10, 4 << 20);
    let urgent = body_patience(0, small, target);
    assert_eq!(urgent, target / 8);
    assert!(body_patience(5, small, target) < urgent);
    assert!(body_patience(0, large, target) < urgent);
    let least = body_patience(u8::MAX, u64::MAX, target);
    assert!(least < body_patience(5, large, target));
    let long_target = Duration::from_secs(60);
    assert_eq!(
        body_patience(0, small, long_target),
        Duration::from_millis(400)
    );
}
