//! Fleet-wide limits with nodes joining, dying and cut off, and classes under overload.

use std::time::Duration;

use limits::{
    AdmissionDecision, AdmissionQueue, LimitExceeded, PeerDemand, QuotaPart, TeamLimits, TeamMeter,
    Waiter,
};
use quickcheck::{Gen, QuickCheck, Testable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::settings::Priority;

const SEED: u64 = 20261202;
/// Overshoot of a limit, in thousandths, that is allowed while demand moves and reports are lost.
const OVERSHOOT_MILLI: u64 = 100;
/// The limit in the unit of the demands; the sum of those drawn is about as large.
const LIMIT_MILLI: u64 = 40_000;
const TICK: Duration = Duration::from_millis(500);

fn check<A: Testable>(property: A, cases: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(cases)
        .quickcheck(property);
}

struct Fleet {
    quotas: Vec<QuotaPart>,
    demand: Vec<u64>,
    rng: ChaCha8Rng,
    round: u64,
}

impl Fleet {
    fn new(seed: u64, nodes: usize) -> Self {
        let quota = || QuotaPart::new(Duration::ZERO, nodes as u64, Duration::from_secs(4));
        Fleet {
            quotas: (0..nodes).map(|_| quota()).collect(),
            demand: vec![1000; nodes],
            rng: ChaCha8Rng::seed_from_u64(seed),
            round: 0,
        }
    }

    // One exchange of reports; `cut` parts the nodes below it from the rest.
    fn tick(&mut self, loss: f64, cut: Option<usize>) -> u64 {
        self.round += 1;
        let now = TICK * self.round as u32;
        let n = self.quotas.len();
        for from in 0..n {
            self.quotas[from].set_own_demand(self.demand[from]);
            let demand = PeerDemand {
                round: self.round,
                rate_milli: self.demand[from],
                heard_at: now,
            };
            for to in 0..n {
                let parted = cut.is_some_and(|c| (from < c) != (to < c));
                if from != to && !parted && !self.rng.random_bool(loss) {
                    self.quotas[to].receive(&format!("n{from}"), demand);
                }
            }
        }
        let fleet = |i: usize| match cut {
            Some(c) if self.round > 20 => (if i < c { c } else { n - c }) as u64,
            _ => n as u64,
        };
        let sizes: Vec<u64> = (0..n).map(fleet).collect();
        let parts = self.quotas.iter_mut().zip(sizes);
        parts
            .map(|(quota, size)| quota.part_milli(now, size, LIMIT_MILLI))
            .sum()
    }
}

#[test]
fn parts_never_sum_past_the_stated_overshoot_while_demand_moves() {
    fn property(seed: u64) -> bool {
        let mut fleet = Fleet::new(seed, 3 + (seed % 9) as usize);
        (0..200).all(|_| {
            if fleet.rng.random_bool(0.1) {
                let i = fleet.rng.random_range(0..fleet.demand.len());
                fleet.demand[i] = fleet.rng.random_range(0..20_000);
            }
            fleet.tick(0.1, None) <= 1000 + OVERSHOOT_MILLI
        })
    }
    check(property as fn(u64) -> bool, 200);
}

#[test]
fn parts_never_sum_past_the_limit_on_the_two_sides_of_a_cut() {
    fn property(seed: u64) -> bool {
        let nodes = 4 + (seed % 8) as usize;
        let mut fleet = Fleet::new(seed, nodes);
        (0..40).for_each(|_| {
            fleet.tick(0.0, None);
        });
        let cut = fleet.rng.random_range(1..nodes);
        let worst = (0..300).map(|_| fleet.tick(0.0, Some(cut))).max();
        worst <= Some(1000 + OVERSHOOT_MILLI)
    }
    check(property as fn(u64) -> bool, 200);
}

#[test]
fn a_steady_demand_gets_nearly_the_whole_limit() {
    let mut fleet = Fleet::new(1, 8);
    fleet.demand = vec![0, 0, 0, 0, 0, 0, 0, 80_000];
    let last = (0..60).map(|_| fleet.tick(0.1, None)).last().unwrap();
    let busy = fleet.quotas[7].part_milli(TICK * 60, 8, LIMIT_MILLI);
    assert!(last >= 950 && busy >= 800, "sum {last}, busy {busy}");
}

#[test]
fn a_node_without_demand_has_room_while_the_limit_is_not_used() {
    let mut fleet = Fleet::new(1, 8);
    fleet.demand = vec![0, 0, 0, 0, 0, 0, 0, 8000];
    (0..60).for_each(|_| {
        fleet.tick(0.1, None);
    });
    let idle = fleet.quotas[0].part_milli(TICK * 60, 8, LIMIT_MILLI);
    let busy = fleet.quotas[7].part_milli(TICK * 60, 8, LIMIT_MILLI);
    assert!(idle >= 95 && busy >= 290, "idle {idle}, busy {busy}");
}

#[test]
fn a_lower_class_never_runs_where_a_higher_one_would_wait() {
    fn property(load: u64, seed: u64) -> bool {
        let load = load % 3000;
        let waiter = |priority, id| Waiter {
            priority,
            deadline: Duration::from_secs(seed % 9 + 1),
            id,
        };
        let verdict = |p| AdmissionQueue::default().admit(waiter(p, 1), load);
        let runs = |p| verdict(p) == AdmissionDecision::Run;
        let order = [Priority::INTERACTIVE, Priority::STANDARD, Priority::BATCH];
        order.windows(2).all(|w| runs(w[0]) || !runs(w[1]))
    }
    check(property as fn(u64, u64) -> bool, 1000);
}

#[test]
fn waiters_are_released_by_class_then_deadline() {
    let mut gate = AdmissionQueue::default();
    let waiter = |priority, secs, id| Waiter {
        priority,
        deadline: Duration::from_secs(secs),
        id,
    };
    assert_eq!(
        gate.admit(waiter(Priority::BATCH, 1, 1), 1100),
        AdmissionDecision::Wait
    );
    assert_eq!(
        gate.admit(waiter(Priority::STANDARD, 9, 2), 1100),
        AdmissionDecision::Wait
    );
    assert_eq!(
        gate.admit(waiter(Priority::STANDARD, 5, 3), 1100),
        AdmissionDecision::Wait
    );
    assert_eq!(gate.admit_next(1100), None);
    let order: Vec<u64> = std::iter::from_fn(|| gate.admit_next(0))
        .map(|w| w.id)
        .collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_queue_that_is_full_sheds_at_once() {
    let mut gate = AdmissionQueue::default();
    let waiter = |id| Waiter {
        priority: Priority::BATCH,
        deadline: Duration::from_secs(9),
        id,
    };
    let verdicts: Vec<AdmissionDecision> = (0..65).map(|id| gate.admit(waiter(id), 1000)).collect();
    assert_eq!(verdicts[63], AdmissionDecision::Wait);
    assert!(matches!(verdicts[64], AdmissionDecision::Shed(after) if after > Duration::ZERO));
}

#[test]
fn the_youngest_batch_request_yields_to_a_waiting_one() {
    let mut gate = AdmissionQueue::default();
    let waiter = Waiter {
        priority: Priority::STANDARD,
        deadline: Duration::from_secs(9),
        id: 9,
    };
    gate.admit(waiter, 1000);
    let running = [
        (Priority::BATCH, 1, Duration::from_secs(1)),
        (Priority::BATCH, 2, Duration::from_secs(2)),
        (Priority::INTERACTIVE, 3, Duration::from_secs(3)),
    ];
    assert_eq!(gate.preemption_victim(&running, 1000), Some(2));
    assert_eq!(gate.preemption_victim(&running, 500), None);
}

#[test]
fn a_waiter_that_is_gone_holds_up_nobody() {
    let mut gate = AdmissionQueue::default();
    let waiter = |id| Waiter {
        priority: Priority::STANDARD,
        deadline: Duration::from_secs(9),
        id,
    };
    assert_eq!(gate.admit(waiter(1), 1000), AdmissionDecision::Wait);
    assert_eq!(gate.admit(waiter(2), 500), AdmissionDecision::Wait);
    gate.remove(1);
    gate.remove(2);
    assert_eq!(gate.admit(waiter(3), 500), AdmissionDecision::Run);
}

#[test]
fn a_team_pays_for_what_it_got_and_not_for_what_it_might_have() {
    let limits = TeamLimits {
        rate_milli: 100_000,
        concurrency: 10,
        // Sixty seconds' worth at once: 60 thousandths.
        budget_milli: 3600,
    };
    let mut meter = TeamMeter::new(Duration::ZERO, limits);
    assert_eq!(meter.admit(Duration::ZERO, 40), Ok(()));
    assert!(matches!(
        meter.admit(Duration::ZERO, 40),
        Err(LimitExceeded::Budget(_))
    ));
    meter.release(Duration::ZERO, 30);
    assert_eq!(meter.admit(Duration::ZERO, 40), Ok(()));
    assert!(matches!(
        meter.admit(Duration::ZERO, 40),
        Err(LimitExceeded::Budget(_))
    ));
}
