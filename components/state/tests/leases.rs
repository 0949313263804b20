//! Leases of nodes that pause, lose answers and have separate clocks.

use std::time::Duration;

use fakes::{check, FakeTable, ROUGH};
use rand::RngExt;
use schema::messages::LeaseRow;
use state::{Lease, LeaseAction, LeaseEvent, LeaseHead, LeaseTerms, Reply, Row, TableCall};

const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 4000;
const DURATION: Duration = Duration::from_secs(5);
/// A sent order reaches its endpoint within this time.
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
    // The clock of each node starts at a different offset.
    clock_offset: Duration,
    paused_until: Duration,
    // Time until which its calls to the table are lost.
    cut_until: Duration,
}

struct Simulation {
    table: FakeTable,
    members: Vec<Member>,
    // Arrival and epoch of each order.
    orders: Vec<(Duration, i64)>,
    // Time, epoch and node of each acquisition.
    gained: Vec<(Duration, i64, usize)>,
    // Arrival, receiver and content of each report of a holder.
    reports_in_flight: Vec<(Duration, usize, LeaseEvent)>,
    // Time and sender of each order.
    sent: Vec<(Duration, usize)>,
    // Whether holders report the lease to other nodes.
    has_reports: bool,
    // Whether the table is restored from older copies and processes restart.
    has_restores: bool,
    writes: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut table = FakeTable::new(seed, ROUGH);
        let members = (0..NODES)
            .map(|n| Member {
                lease: Lease::new(terms(n)),
                clock_offset: Duration::from_secs(table.rng.random_range(0..9999)),
                paused_until: Duration::ZERO,
                cut_until: Duration::ZERO,
            })
            .collect();
        Simulation {
            table,
            members,
            orders: Vec::new(),
            gained: Vec::new(),
            reports_in_flight: Vec::new(),
            sent: Vec::new(),
            has_reports: false,
            has_restores: false,
            writes: 0,
        }
    }

    /// Takes or restores a snapshot of the table at random; a restore also restarts some or all processes.
    fn restore_at_random(&mut self, now: Duration) {
        if self.table.rng.random_ratio(1, 150) {
            self.table.take_snapshot();
        }
        if self.table.rng.random_ratio(1, 400) {
            self.table.restore_snapshot();
            let restart_all = self.table.rng.random_ratio(1, 3);
            for n in 0..NODES {
                if restart_all || self.table.rng.random_ratio(1, 8) {
                    self.members[n].lease = Lease::new(terms(n));
                    // Orders that were already sent still arrive.
                    let offset = self.table.rng.random_range(0..9999);
                    self.members[n].clock_offset = Duration::from_secs(offset);
                    self.members[n].paused_until = now + DURATION;
                }
            }
        }
    }

    /// The holder reports the row to the other nodes and sometimes gives up the lease. Reports arrive within a second.
    fn report(&mut self, now: Duration, n: usize) {
        let Some(head) = self.members[n].lease.head() else {
            return;
        };
        let mut reported = LeaseEvent::HeadReported(head.clone());
        let is_order_in_flight = self.orders.iter().any(|(arrival, _)| *arrival >= now);
        if !is_order_in_flight && self.table.rng.random_ratio(1, 20) {
            self.event(now, n, LeaseEvent::GiveUp);
            // A lease that had already expired is not given up.
            if self.members[n].lease.given_up() == Some(head.epoch) {
                reported = LeaseEvent::GiveUpReported(head.epoch);
            }
        }
        for other in (0..NODES).filter(|other| *other != n) {
            if self.table.rng.random_ratio(3, 4) {
                let delay = Duration::from_millis(self.table.rng.random_range(1..1000));
                self.reports_in_flight
                    .push((now + delay, other, reported.clone()));
            }
        }
    }

    fn deliver(&mut self, now: Duration) {
        let (due, later) = self
            .reports_in_flight
            .drain(..)
            .partition(|(at, ..)| *at <= now);
        self.reports_in_flight = later;
        let due: Vec<(Duration, usize, LeaseEvent)> = due;
        for (_, to, reported) in due {
            if now >= self.members[to].paused_until {
                self.event(now, to, reported);
            }
        }
    }

    fn event(&mut self, now: Duration, n: usize, event: LeaseEvent) {
        let member = &mut self.members[n];
        let actions = member.lease.step(now + member.clock_offset, event);
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
        for answer in self.table.advance_with_eras(now) {
            let n = answer.caller;
            let when = now.max(self.members[n].paused_until);
            let (call, era, reply) = (answer.call, answer.era, answer.reply);
            self.event(when, n, LeaseEvent::Replied { call, era, reply });
        }
        self.deliver(now);
        for n in 0..NODES {
            if now < self.members[n].paused_until {
                continue;
            }
            if self.has_reports {
                self.report(now, n);
            }
            self.writes += 1;
            let write_id = format!("w{}", self.writes);
            self.event(
                now,
                n,
                LeaseEvent::Tick {
                    write_id,
                    is_candidate: true,
                },
            );
            self.order(now, n);
        }
    }

    fn order(&mut self, now: Duration, n: usize) {
        let member = &self.members[n];
        let Some(epoch) = member.lease.order_epoch(now + member.clock_offset) else {
            return;
        };
        // Holders that report send fewer orders, so that they have times without orders in flight and can give up the lease.
        let pause = if self.has_reports { 40 } else { 4 };
        if self.table.rng.random_ratio(1, pause) {
            // The node may pause between its check of the lease and the order.
            let margin = MARGIN.as_millis() as u64;
            let flight = [1, margin - 1][self.table.rng.random_range(0..2)];
            let pause = match self.table.rng.random_ratio(1, 4) {
                true => margin - 1,
                false => 0,
            };
            self.sent.push((now, n));
            self.orders
                .push((now + Duration::from_millis(flight + pause), epoch));
        }
    }
}

fn run(seed: u64) -> Simulation {
    run_simulation(Simulation::new(seed))
}

fn run_with_reports(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.has_reports = true;
    run_simulation(simulation)
}

// Restores the table at random and restarts processes without their state.
fn run_with_restores(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.has_reports = seed.is_multiple_of(2);
    simulation.has_restores = true;
    run_simulation(simulation)
}

fn run_simulation(mut simulation: Simulation) -> Simulation {
    for step in 0..STEPS {
        let now = STEP * step;
        if simulation.has_restores {
            simulation.restore_at_random(now);
        }
        if simulation.table.rng.random_ratio(1, 200) {
            let n = simulation.table.rng.random_range(0..NODES);
            let pause = Duration::from_millis(simulation.table.rng.random_range(100..20_000));
            // A shorter pause does not end a longer one, since the clock of the node would go back.
            let paused_until = &mut simulation.members[n].paused_until;
            *paused_until = (now + pause).max(*paused_until);
        }
        if simulation.table.rng.random_ratio(1, 300) {
            let n = simulation.table.rng.random_range(0..NODES);
            let cut = Duration::from_millis(simulation.table.rng.random_range(1000..15_000));
            simulation.members[n].cut_until = now + cut;
        }
        simulation.step(now);
    }
    simulation
}

#[test]
fn no_order_of_an_expired_lease_arrives_after_the_first_order_of_the_next_holder() {
    check(200, |seed: u64| {
        let mut orders = run(seed).orders;
        orders.sort();
        orders.windows(2).all(|w| w[0].1 <= w[1].1)
    });
}

#[test]
fn epochs_only_increase_and_have_one_holder_each() {
    check(200, |seed: u64| {
        let mut gained = run(seed).gained;
        gained.sort();
        // A holder whose renewal is answered late acquires its own epoch again.
        gained
            .windows(2)
            .all(|w| w[0].1 < w[1].1 || (w[0].1 == w[1].1 && w[0].2 == w[1].2))
    });
}

#[test]
fn epochs_have_one_holder_each_across_restores() {
    check(200, |seed: u64| {
        let gained = run_with_restores(seed).gained;
        let mut holders = std::collections::BTreeMap::new();
        gained
            .iter()
            .all(|(_, epoch, n)| *holders.entry(*epoch).or_insert(*n) == *n)
    });
}

#[test]
fn order_epochs_never_decrease_across_restores() {
    check(200, |seed: u64| {
        let mut orders = run_with_restores(seed).orders;
        orders.sort();
        orders.windows(2).all(|w| w[0].1 <= w[1].1)
    });
}

#[test]
fn orders_are_sent_across_restores() {
    let simulations: Vec<Simulation> = (0..10).map(run_with_restores).collect();
    let orders: usize = simulations
        .iter()
        .map(|simulation| simulation.orders.len())
        .sum();
    let eras: u64 = simulations
        .iter()
        .map(|simulation| simulation.table.era)
        .sum();
    assert!(orders > 500 && eras > 50, "{orders} orders in {eras} eras");
}

// Guards against reused epochs after a restore: a node that does not know of the restore may overwrite the row, under a
// reused version, with an epoch of the earlier era.
#[test]
fn epochs_increase_with_the_version_of_the_row_after_a_restore() {
    let epoch_after = |version: u64| {
        let mut lease = Lease::new(terms(0));
        let row = LeaseRow {
            holder: "n1".into(),
            epoch: 5,
            write: "w".into(),
        };
        let value = schema::encode(&row).unwrap();
        let tick = |write: &str| LeaseEvent::Tick {
            write_id: write.into(),
            is_candidate: true,
        };
        let actions = lease.step(Duration::ZERO, tick("a"));
        let LeaseAction::Call { call, .. } = actions[0] else {
            panic!("{actions:?}");
        };
        let reply = Reply::Row(Some(Row { version, value }));
        let era = Some(1);
        lease.step(Duration::ZERO, LeaseEvent::Replied { call, era, reply });
        let actions = lease.step(DURATION, tick("b"));
        let LeaseAction::Call {
            table: TableCall::Transact(writes),
            ..
        } = &actions[0]
        else {
            panic!("{actions:?}");
        };
        schema::decode::<LeaseRow>(&writes[0].value).unwrap().epoch
    };
    assert!(epoch_after(20) > 5);
    assert!(epoch_after(21) > epoch_after(20));
}

#[test]
fn the_lease_is_acquired_and_used_repeatedly() {
    let orders: usize = (0..10).map(|seed| run(seed).orders.len()).sum();
    let epochs: usize = (0..10).map(|seed| run(seed).gained.len()).sum();
    assert!(
        orders > 2000 && epochs > 20,
        "{orders} orders in {epochs} epochs"
    );
}

#[test]
fn a_holder_that_resumes_after_expiry_may_not_send_orders() {
    let mut simulation = Simulation::new(3);
    simulation.table.faults = fakes::CALM;
    let holder = (0..1000)
        .find_map(|step| {
            simulation.step(STEP * step);
            let now = STEP * step;
            (0..NODES).find(|n| {
                let m = &simulation.members[*n];
                m.lease.order_epoch(now + m.clock_offset).is_some()
            })
        })
        .expect("a node holds the lease");
    let member = &simulation.members[holder];
    let late = STEP * 1000 + DURATION;
    assert_eq!(member.lease.order_epoch(late + member.clock_offset), None);
}

#[test]
fn a_candidate_whose_write_conflicts_reads_the_row_before_it_writes_again() {
    let mut simulation = Simulation::new(3);
    simulation.table.faults = fakes::CALM;
    (0..500).for_each(|step| simulation.step(STEP * step));
    // Ten seconds of four nodes that read or renew every 200 ms.
    assert!(
        simulation.table.calls < 250,
        "{} calls",
        simulation.table.calls
    );
}

#[test]
fn no_order_arrives_after_the_first_order_of_the_next_holder_when_holders_report_and_give_up() {
    check(200, |seed: u64| {
        let mut orders = run_with_reports(seed).orders;
        orders.sort();
        orders.windows(2).all(|w| w[0].1 <= w[1].1)
    });
}

#[test]
fn epochs_have_one_holder_each_when_holders_report_and_give_up() {
    check(200, |seed: u64| {
        let mut gained = run_with_reports(seed).gained;
        gained.sort();
        gained
            .windows(2)
            .all(|w| w[0].1 < w[1].1 || (w[0].1 == w[1].1 && w[0].2 == w[1].2))
    });
}

#[test]
fn orders_do_not_return_to_a_node_within_the_duration_of_a_lease() {
    check(200, |seed: u64| {
        let sent = run_with_reports(seed).sent;
        let mut last_of: [Option<Duration>; NODES] = [None; NODES];
        let mut last = None;
        for (at, n) in sent {
            let returns = last.is_some_and(|last| last != n);
            let soon = last_of[n].is_some_and(|before| at < before + DURATION - MARGIN);
            if returns && soon {
                return false;
            }
            (last_of[n], last) = (Some(at), Some(n));
        }
        true
    });
}

#[test]
fn a_lease_that_was_given_up_is_taken_over_before_it_would_have_expired() {
    let mut simulation = Simulation::new(3);
    simulation.table.faults = fakes::CALM;
    let mut now = Duration::ZERO;
    let mut run_until = |simulation: &mut Simulation, until: Duration| {
        while now < until {
            simulation.step(now);
            now += STEP;
        }
    };
    run_until(&mut simulation, DURATION * 4);
    let (_, epoch, holder) = *simulation.gained.last().expect("a node holds the lease");
    let at = DURATION * 4;
    let reported = LeaseEvent::HeadReported(simulation.members[holder].lease.head().unwrap());
    simulation.event(at, holder, LeaseEvent::GiveUp);
    let next = (holder + 1) % NODES;
    simulation.event(at, next, reported);
    simulation.event(at, next, LeaseEvent::GiveUpReported(epoch));
    run_until(&mut simulation, at + MARGIN);
    assert_eq!(
        simulation.gained.last().map(|g| (g.1, g.2)),
        Some((epoch + 1, next))
    );
    let calls = simulation.table.calls;
    for step in 1..100 {
        let now = at + MARGIN + STEP * step;
        simulation.event(now, next, LeaseEvent::GiveUpReported(epoch));
        simulation.step(now);
    }
    let calls = simulation.table.calls - calls;
    assert!(calls < 50, "{calls} calls");
}

#[test]
fn a_node_that_gave_up_the_lease_does_not_take_it_over_again_at_once() {
    let mut lease = Lease::new(terms(0));
    let tick = |write: &str| LeaseEvent::Tick {
        write_id: write.into(),
        is_candidate: true,
    };
    let heard = |version, epoch| {
        LeaseEvent::HeadReported(LeaseHead {
            version,
            era: 0,
            holder: "n1".into(),
            epoch,
        })
    };
    let at = |ms| Duration::from_millis(ms);
    // The node acquires an expired lease and gives it up.
    lease.step(at(0), heard(1, 1));
    let actions = lease.step(DURATION, tick("a"));
    let LeaseAction::Call { call, .. } = actions[0] else {
        panic!("{actions:?}");
    };
    let reply = Reply::Committed { version: 2 };
    lease.step(
        DURATION,
        LeaseEvent::Replied {
            call,
            era: None,
            reply,
        },
    );
    let given_up_at = DURATION + at(2000);
    lease.step(given_up_at, LeaseEvent::GiveUp);
    assert_eq!(lease.given_up(), Some(2));
    // Another node takes over and gives it up as well.
    lease.step(given_up_at + at(100), heard(3, 3));
    lease.step(given_up_at + at(200), LeaseEvent::GiveUpReported(3));
    let mut writes_at = None;
    for ms in (200..8000).step_by(200) {
        let actions = lease.step(given_up_at + at(ms), tick("b"));
        for action in actions {
            match action {
                LeaseAction::Call {
                    call,
                    table: TableCall::Read(_),
                } => {
                    let reply = Reply::Unanswered;
                    lease.step(
                        given_up_at + at(ms),
                        LeaseEvent::Replied {
                            call,
                            era: None,
                            reply,
                        },
                    );
                }
                LeaseAction::Call { .. } => writes_at = writes_at.or(Some(at(ms))),
                LeaseAction::Gained(_) | LeaseAction::Lost => {}
            }
        }
    }
    assert!(
        writes_at.is_some_and(|ms| ms >= DURATION - at(200)),
        "{writes_at:?}"
    );
}

#[test]
fn a_reported_lease_of_a_dead_holder_expires_without_a_read() {
    let mut simulation = Simulation::new(3);
    simulation.table.faults = fakes::CALM;
    let mut lease = Lease::new(terms(9));
    let head = LeaseHead {
        version: 1,
        era: 0,
        holder: "n0".into(),
        epoch: 4,
    };
    lease.step(Duration::ZERO, LeaseEvent::HeadReported(head));
    let tick = || LeaseEvent::Tick {
        write_id: "w".into(),
        is_candidate: true,
    };
    let actions = lease.step(DURATION, tick());
    let writes = |action: &LeaseAction| {
        matches!(action, LeaseAction::Call { table: TableCall::Transact(writes), .. }
            if writes[0].expect == 1)
    };
    assert!(actions.iter().any(writes), "{actions:?}");
}
