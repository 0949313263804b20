//! A lease with nodes that pause, lose answers and run clocks of their own.

use std::time::Duration;

use fakes::{check, FakeTable, ROUGH};
use rand::RngExt;
use state::{Lease, LeaseAction, LeaseEvent, LeaseTerms};

const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 4000;
const DURATION: Duration = Duration::from_secs(5);
/// An order that was sent reaches its endpoint within the margin.
const MARGIN: Duration = Duration::from_secs(1);
const NODES: usize = 4;

fn terms(n: usize) -> LeaseTerms {
    LeaseTerms {
        key: "lease/home".into(),
        node: format!("n{n}"),
        duration: DURATION,
        margin: MARGIN,
        interval: Duration::from_millis(200),
    }
}

struct Member {
    lease: Lease,
    // Each node's clock started at another time.
    offset: Duration,
    paused_until: Duration,
    // Until when its calls of the table are lost.
    cut_until: Duration,
}

/// An order on its way: `(arrival, epoch)`.
struct World {
    table: FakeTable,
    members: Vec<Member>,
    orders: Vec<(Duration, i64)>,
    // When, which epoch, and by whom.
    gained: Vec<(Duration, i64, usize)>,
    writes: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut table = FakeTable::new(seed, ROUGH);
        let members = (0..NODES)
            .map(|n| Member {
                lease: Lease::new(terms(n)),
                offset: Duration::from_secs(table.rng.random_range(0..9999)),
                paused_until: Duration::ZERO,
                cut_until: Duration::ZERO,
            })
            .collect();
        World {
            table,
            members,
            orders: Vec::new(),
            gained: Vec::new(),
            writes: 0,
        }
    }

    fn event(&mut self, now: Duration, n: usize, event: LeaseEvent) {
        let member = &mut self.members[n];
        let actions = member.lease.step(now + member.offset, event);
        for action in actions {
            match action {
                LeaseAction::Call { call, table } => {
                    let faults = self.table.faults;
                    if now < self.members[n].cut_until {
                        self.table.faults.lost = 1000;
                    }
                    self.table.call(now, n, call, table);
                    self.table.faults = faults;
                }
                LeaseAction::Gained(epoch) => self.gained.push((now, epoch, n)),
                LeaseAction::Lost => {}
            }
        }
    }

    fn step(&mut self, now: Duration) {
        for (n, call, reply) in self.table.advance(now) {
            let when = now.max(self.members[n].paused_until);
            self.event(when, n, LeaseEvent::Replied { call, reply });
        }
        for n in 0..NODES {
            if now < self.members[n].paused_until {
                continue;
            }
            self.writes += 1;
            let write = format!("w{}", self.writes);
            self.event(
                now,
                n,
                LeaseEvent::Tick {
                    write,
                    candidate: true,
                },
            );
            self.order(now, n);
        }
    }

    fn order(&mut self, now: Duration, n: usize) {
        let member = &self.members[n];
        let Some(epoch) = member.lease.may_order(now + member.offset) else {
            return;
        };
        if self.table.rng.random_ratio(1, 4) {
            // The node may pause between its look at the lease and the order.
            let margin = MARGIN.as_millis() as u64;
            let flight = [1, margin - 1][self.table.rng.random_range(0..2)];
            let pause = match self.table.rng.random_ratio(1, 4) {
                true => margin - 1,
                false => 0,
            };
            self.orders
                .push((now + Duration::from_millis(flight + pause), epoch));
        }
    }
}

fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    for step in 0..STEPS {
        let now = STEP * step;
        if world.table.rng.random_ratio(1, 200) {
            let n = world.table.rng.random_range(0..NODES);
            let pause = Duration::from_millis(world.table.rng.random_range(100..20_000));
            world.members[n].paused_until = now + pause;
        }
        if world.table.rng.random_ratio(1, 300) {
            let n = world.table.rng.random_range(0..NODES);
            let cut = Duration::from_millis(world.table.rng.random_range(1000..15_000));
            world.members[n].cut_until = now + cut;
        }
        world.step(now);
    }
    world
}

#[test]
fn no_order_of_a_lapsed_lease_arrives_after_its_successors_first() {
    check(200, |seed: u64| {
        let mut orders = run(seed).orders;
        orders.sort();
        orders.windows(2).all(|w| w[0].1 <= w[1].1)
    });
}

#[test]
fn epochs_only_grow_and_have_one_holder_each() {
    check(200, |seed: u64| {
        let mut gained = run(seed).gained;
        gained.sort();
        // A holder whose renewal is answered late gains its own epoch again.
        gained
            .windows(2)
            .all(|w| w[0].1 < w[1].1 || (w[0].1 == w[1].1 && w[0].2 == w[1].2))
    });
}

#[test]
fn the_lease_is_held_and_used_again_and_again() {
    let orders: usize = (0..10).map(|seed| run(seed).orders.len()).sum();
    let epochs: usize = (0..10).map(|seed| run(seed).gained.len()).sum();
    assert!(
        orders > 2000 && epochs > 20,
        "{orders} orders in {epochs} epochs"
    );
}

#[test]
fn a_holder_that_wakes_late_may_not_order() {
    let mut world = World::new(3);
    world.table.faults = fakes::CALM;
    let holder = (0..1000)
        .find_map(|step| {
            world.step(STEP * step);
            let now = STEP * step;
            (0..NODES).find(|n| {
                let m = &world.members[*n];
                m.lease.may_order(now + m.offset).is_some()
            })
        })
        .expect("somebody holds the lease");
    let member = &world.members[holder];
    let late = STEP * 1000 + DURATION;
    assert_eq!(member.lease.may_order(late + member.offset), None);
}

#[test]
fn a_candidate_that_lost_the_race_looks_again_instead_of_writing_on() {
    let mut world = World::new(3);
    world.table.faults = fakes::CALM;
    (0..500).for_each(|step| world.step(STEP * step));
    // Ten seconds of four nodes that look or renew every 200 ms.
    assert!(world.table.calls < 250, "{} calls", world.table.calls);
}
