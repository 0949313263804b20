//! Guarantees of the ledger and of the decisions based on it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use memory::{
    eviction_candidate, max_body_wait, AcceptChange, AcceptGate, Budget, Delivery,
    EndpointTimeouts, Kind, Ledger, ReleaseRate, Reservation, TableSizes,
};
use quickcheck::{quickcheck, Arbitrary, Gen};

const BUDGET_BYTES: u64 = 1_000_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Reserve { account: usize, kind: usize },
    Grow { reservation: usize, bytes: u64 },
    Shrink { reservation: usize, bytes: u64 },
    Split { reservation: usize, bytes: u64 },
    Change { reservation: usize, kind: usize },
    Drop { reservation: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (account, reservation) = (usize::arbitrary(g), usize::arbitrary(g));
        let kind = usize::arbitrary(g) % Kind::ALL.len();
        let bytes = u64::arbitrary(g) % (BUDGET_BYTES / 8);
        match u8::arbitrary(g) % 10 {
            0 => Step::Open,
            1 | 2 => Step::Reserve { account, kind },
            3..=5 => Step::Grow { reservation, bytes },
            6 => Step::Shrink { reservation, bytes },
            7 => Step::Split { reservation, bytes },
            8 => Step::Change { reservation, kind },
            _ => Step::Drop { reservation },
        }
    }
}

fn ledger() -> Ledger {
    Ledger::new(Budget::of_bytes(BUDGET_BYTES), || {})
}

fn run_steps(ledger: &Ledger, steps: &[Step]) -> Vec<Reservation> {
    let mut accounts = vec![ledger.open_account()];
    let mut reservations: Vec<Reservation> = vec![accounts[0].reservation(Kind::WholeAnswer)];
    for step in steps {
        let index_of = |reservation: usize| reservation % reservations.len().max(1);
        match *step {
            Step::Open => accounts.push(ledger.open_account()),
            Step::Reserve { account, kind } => {
                let account = &accounts[account % accounts.len()];
                reservations.push(account.reservation(Kind::ALL[kind]));
            }
            _ if reservations.is_empty() => {}
            Step::Grow { reservation, bytes } => {
                let index = index_of(reservation);
                reservations[index].grow(bytes);
            }
            Step::Shrink { reservation, bytes } => {
                let index = index_of(reservation);
                reservations[index].shrink(bytes);
            }
            Step::Split { reservation, bytes } => {
                let index = index_of(reservation);
                let split = reservations[index].split(bytes);
                reservations.push(split);
            }
            Step::Change { reservation, kind } => {
                let index = index_of(reservation);
                reservations[index].change_kind(Kind::ALL[kind]);
            }
            Step::Drop { reservation } => {
                let index = index_of(reservation);
                reservations.swap_remove(index);
            }
        }
        let sum: u64 = reservations.iter().map(Reservation::bytes).sum();
        let kinds: u64 = Kind::ALL.iter().map(|kind| ledger.held(*kind)).sum();
        assert_eq!((sum, kinds), (ledger.total(), ledger.total()));
        assert!(ledger.total() <= BUDGET_BYTES);
    }
    reservations
}

quickcheck! {
    fn the_ledger_never_exceeds_its_budget_and_is_empty_once_all_reservations_are_dropped(steps: Vec<Step>, from: usize) -> bool {
        let ledger = ledger();
        let mut reservations = run_steps(&ledger, &steps);
        while !reservations.is_empty() {
            let index = from % reservations.len();
            drop(reservations.swap_remove(index));
        }
        ledger.total() == 0 && ledger.holders() == 0
    }

    fn a_request_within_its_share_can_reserve_while_the_common_pool_is_used_up(holders: u8) -> bool {
        let ledger = ledger();
        let greedy = ledger.open_account();
        let mut greedy_reservation = greedy.reservation(Kind::ReadAhead);
        while greedy_reservation.grow(1000) {}
        let others: Vec<Reservation> = (0..holders)
            .map(|_| {
                let mut reservation = ledger.open_account().reservation(Kind::ReadAhead);
                assert!(reservation.grow(ledger.budget().share(ledger.holders() + 1)));
                reservation
            })
            .collect();
        others.len() == usize::from(holders) && ledger.total() <= BUDGET_BYTES
    }
}

#[test]
fn without_a_limit_every_reservation_succeeds() {
    let ledger = Ledger::new(Budget::of_vm(0, TableSizes::default()), || {});
    let mut reservation = ledger.open_account().reservation(Kind::WholeAnswer);
    assert!(reservation.grow(u64::MAX / 2));
    assert_eq!(ledger.held(Kind::WholeAnswer), u64::MAX / 2);
}

#[test]
fn a_vm_of_160_mib_has_a_planned_peak_below_120_mib() {
    let tables = TableSizes {
        endpoints: 64,
        gateways: 74,
    };
    let budget = Budget::of_vm(160, tables);
    let max_bytes = budget.max_bytes.unwrap();
    // Reserved bytes, a tenth of them for allocator fragmentation, and the base of 8 MiB.
    let peak = max_bytes + max_bytes / 10 + (8 << 20);
    assert!((80 << 20..120 << 20).contains(&peak), "{peak}");
    assert!(Budget::of_vm(160, TableSizes::default()).max_bytes > budget.max_bytes);
}

#[test]
fn the_release_callback_runs_on_every_release() {
    let release_count = Rc::new(Cell::new(0));
    let count = Rc::clone(&release_count);
    let ledger = Ledger::new(Budget::of_bytes(BUDGET_BYTES), move || {
        count.set(count.get() + 1)
    });
    let mut reservation = ledger.open_account().reservation(Kind::WholeAnswer);
    assert!(reservation.grow(10));
    reservation.shrink(4);
    drop(reservation);
    assert_eq!((release_count.get(), ledger.released()), (2, 10));
}

#[test]
fn accepting_pauses_before_the_budget_is_used_up_and_resumes_well_below() {
    let budget = Budget::of_bytes(100);
    let mut gate = AcceptGate::default();
    let changes: Vec<Option<AcceptChange>> = [50, 87, 89, 87, 79, 77, 87]
        .into_iter()
        .map(|held| gate.update(held, budget))
        .collect();
    let (paused, resumed) = (Some(AcceptChange::Paused), Some(AcceptChange::Resumed));
    assert_eq!(changes, [None, None, paused, None, None, resumed, None]);
    assert_eq!(gate.update(u64::MAX, Budget::NONE), None);
}

#[test]
fn the_retry_time_follows_the_release_rate() {
    let mut rate = ReleaseRate::default();
    assert_eq!(rate.time_until_free(1 << 20), Duration::from_secs(5));
    for second in 1..=20 {
        rate.sample(Duration::from_secs(second), second * 1_000_000);
    }
    let wait = rate.time_until_free(2_000_000).as_secs_f64();
    assert!((1.9..2.1).contains(&wait), "{wait}");
    assert_eq!(rate.time_until_free(1), Duration::from_millis(100));
}

fn delivery(held: u64, stalled: u64, unread: Option<u64>) -> Delivery {
    Delivery {
        held,
        stalled: Duration::from_secs(stalled),
        unread: unread.map(Duration::from_secs),
    }
}

#[test]
fn the_delivery_with_the_largest_product_of_bytes_and_stall_time_is_evicted_first() {
    let deliveries = [
        delivery(1000, 4, None),
        delivery(500, 10, None),
        delivery(0, 100, None),
    ];
    assert_eq!(
        eviction_candidate(&deliveries, EndpointTimeouts::default()),
        Some(1)
    );
}

#[test]
fn a_delivery_with_progress_is_kept_unless_its_endpoint_has_cut_it() {
    let deliveries = [delivery(1000, 1, Some(9)), delivery(10, 0, None)];
    assert_eq!(
        eviction_candidate(&deliveries, EndpointTimeouts::default()),
        None
    );
    let seen = |seconds| EndpointTimeouts {
        cut_after: Some(Duration::from_secs(seconds)),
    };
    assert_eq!(eviction_candidate(&deliveries, seen(10)), None);
    assert_eq!(eviction_candidate(&deliveries, seen(9)), Some(0));
}

#[test]
fn less_urgent_and_larger_bodies_wait_for_less_and_none_waits_past_an_eighth_of_its_target() {
    let target = Duration::from_secs(2);
    let (small, large) = (1 << 10, 4 << 20);
    let urgent = max_body_wait(0, small, target);
    assert_eq!(urgent, target / 8);
    assert!(max_body_wait(5, small, target) < urgent);
    assert!(max_body_wait(0, large, target) < urgent);
    let least = max_body_wait(u8::MAX, u64::MAX, target);
    assert!(least < max_body_wait(5, large, target));
    let long_target = Duration::from_secs(60);
    assert_eq!(
        max_body_wait(0, small, long_target),
        Duration::from_millis(400)
    );
}
