//! Parts of fleet-wide limits under lost reports and network partitions, admission by priority class, and charges for
//! spending.

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
/// Allowed overshoot of a limit, in thousandths, while demand changes and reports are lost.
const OVERSHOOT_MILLI: u64 = 100;
/// The limit, in the unit of the demands, whose random sum is about as large.
const LIMIT_MILLI: u64 = 40_000;
const TICK: Duration = Duration::from_millis(500);

fn run_property<A: Testable>(property: A, cases: u64) {
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

    // Exchanges one round of reports and returns the sum of all parts, in thousandths. With
    // `partition_at`, a network partition separates the nodes below that index from the rest.
    fn tick(&mut self, loss: f64, partition_at: Option<usize>) -> u64 {
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
                let is_partitioned = partition_at.is_some_and(|c| (from < c) != (to < c));
                if from != to && !is_partitioned && !self.rng.random_bool(loss) {
                    self.quotas[to].receive(&format!("n{from}"), demand);
                }
            }
        }
        let fleet = |i: usize| match partition_at {
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
fn parts_never_sum_past_the_allowed_overshoot_while_demand_changes() {
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
    run_property(property as fn(u64) -> bool, 200);
}

#[test]
fn parts_on_both_sides_of_a_partition_never_sum_past_the_allowed_overshoot() {
    fn property(seed: u64) -> bool {
        let nodes = 4 + (seed % 8) as usize;
        let mut fleet = Fleet::new(seed, nodes);
        (0..40).for_each(|_| {
            fleet.tick(0.0, None);
        });
        let partition_at = fleet.rng.random_range(1..nodes);
        let worst = (0..300).map(|_| fleet.tick(0.0, Some(partition_at))).max();
        worst <= Some(1000 + OVERSHOOT_MILLI)
    }
    run_property(property as fn(u64) -> bool, 200);
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
fn a_node_without_demand_has_headroom_while_the_limit_is_not_used_up() {
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
        let decision = |p| AdmissionQueue::default().admit(waiter(p, 1), load);
        let runs = |p| decision(p) == AdmissionDecision::Run;
        let order = [Priority::INTERACTIVE, Priority::STANDARD, Priority::BATCH];
        order.windows(2).all(|w| runs(w[0]) || !runs(w[1]))
    }
    run_property(property as fn(u64, u64) -> bool, 1000);
}

#[test]
fn queued_requests_are_admitted_by_class_then_deadline() {
    let mut queue = AdmissionQueue::default();
    let waiter = |priority, secs, id| Waiter {
        priority,
        deadline: Duration::from_secs(secs),
        id,
    };
    assert_eq!(
        queue.admit(waiter(Priority::BATCH, 1, 1), 1100),
        AdmissionDecision::Wait
    );
    assert_eq!(
        queue.admit(waiter(Priority::STANDARD, 9, 2), 1100),
        AdmissionDecision::Wait
    );
    assert_eq!(
        queue.admit(waiter(Priority::STANDARD, 5, 3), 1100),
        AdmissionDecision::Wait
    );
    assert_eq!(queue.admit_next(1100), None);
    let order: Vec<u64> = std::iter::from_fn(|| queue.admit_next(0))
        .map(|w| w.id)
        .collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_full_queue_sheds_new_requests_at_once() {
    let mut queue = AdmissionQueue::default();
    let waiter = |id| Waiter {
        priority: Priority::BATCH,
        deadline: Duration::from_secs(9),
        id,
    };
    let decisions: Vec<AdmissionDecision> =
        (0..65).map(|id| queue.admit(waiter(id), 1000)).collect();
    assert_eq!(decisions[63], AdmissionDecision::Wait);
    assert!(matches!(decisions[64], AdmissionDecision::Shed(after) if after > Duration::ZERO));
}

#[test]
fn the_latest_batch_request_is_preempted_for_a_queued_request_of_a_higher_class() {
    let mut queue = AdmissionQueue::default();
    let waiter = Waiter {
        priority: Priority::STANDARD,
        deadline: Duration::from_secs(9),
        id: 9,
    };
    queue.admit(waiter, 1000);
    let running = [
        (Priority::BATCH, 1, Duration::from_secs(1)),
        (Priority::BATCH, 2, Duration::from_secs(2)),
        (Priority::INTERACTIVE, 3, Duration::from_secs(3)),
    ];
    assert_eq!(queue.preemption_victim(&running, 1000), Some(2));
    assert_eq!(queue.preemption_victim(&running, 500), None);
}

#[test]
fn a_removed_request_does_not_block_those_behind_it() {
    let mut queue = AdmissionQueue::default();
    let waiter = |id| Waiter {
        priority: Priority::STANDARD,
        deadline: Duration::from_secs(9),
        id,
    };
    assert_eq!(queue.admit(waiter(1), 1000), AdmissionDecision::Wait);
    assert_eq!(queue.admit(waiter(2), 500), AdmissionDecision::Wait);
    queue.remove(1);
    queue.remove(2);
    assert_eq!(queue.admit(waiter(3), 500), AdmissionDecision::Run);
}

#[test]
fn a_team_is_refunded_the_part_of_a_charge_that_was_not_spent() {
    let limits = TeamLimits {
        rate_milli: 100_000,
        concurrency: 10,
        // 60 seconds' worth, 60 thousandths, may be spent at once.
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
