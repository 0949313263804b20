//! Choice of coordinators in each data hall, simulated for many gateways in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gateway::{ListedGateway, PeerStatus, Peers};

const STEP: Duration = Duration::from_millis(500);
/// Steps after which dead gateways count as silent everywhere and others have taken their place.
const SETTLE_STEPS: usize = 12;

struct Member {
    listed: ListedGateway,
    peers: Peers,
    sequence: i64,
    is_running: bool,
    is_cut_off: bool,
    has_lost_paths: bool,
}

struct Simulation {
    now: Duration,
    members: Vec<Member>,
    by_address: BTreeMap<SocketAddr, usize>,
    sent_in_step: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7600))
}

impl Simulation {
    /// Starts gateways in all halls, three larger ones in each. All of them have read the list of the store.
    fn new(halls: usize, gateways_per_hall: usize) -> Self {
        let listed = (0..halls * gateways_per_hall).map(|i| ListedGateway {
            name: format!("g{i}"),
            address: address(i),
            hall: format!("h{}", i % halls),
            cores_milli: if i / halls < 3 { 500 } else { 120 },
            decisions: Some(address(i)),
        });
        let all: Vec<ListedGateway> = listed.collect();
        let members = all.iter().map(|own| {
            let mut peers = Peers::new(own.clone());
            peers.apply_list(Duration::ZERO, all.iter().cloned());
            Member {
                listed: own.clone(),
                peers,
                sequence: 0,
                is_running: true,
                is_cut_off: false,
                has_lost_paths: false,
            }
        });
        Simulation {
            now: Duration::ZERO,
            members: members.collect(),
            by_address: (0..all.len()).map(|i| (address(i), i)).collect(),
            sent_in_step: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.sent_in_step = 0;
        for from in 0..self.members.len() {
            if !self.members[from].is_running {
                continue;
            }
            let (greeting, targets) = self.members[from].next_greeting(self.now);
            self.sent_in_step += targets.len();
            for target in targets {
                let Some(to) = self.by_address.get(&target).copied() else {
                    continue;
                };
                let is_connected = self.members[from].is_cut_off == self.members[to].is_cut_off;
                if is_connected && self.members[to].is_running {
                    self.members[to].peers.receive(self.now, greeting.clone());
                }
            }
        }
        let now = self.now;
        self.members.iter_mut().for_each(|m| m.peers.tick(now));
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    fn coordinators(&self, hall: &str) -> Vec<&str> {
        let now = self.now;
        let own = self.running().filter(|m| m.listed.hall == hall);
        let coordinating = own.filter(|m| m.peers.is_coordinator(now));
        coordinating.map(|m| m.listed.name.as_str()).collect()
    }

    fn running(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.is_running)
    }

    fn kill(&mut self, index: usize) {
        self.members[index].is_running = false;
    }

    fn start(&mut self, index: usize) {
        let all: Vec<ListedGateway> = self.members.iter().map(|m| m.listed.clone()).collect();
        let member = &mut self.members[index];
        member.is_running = true;
        member.peers = Peers::new(member.listed.clone());
        member.peers.apply_list(self.now, all.into_iter());
        member.sequence = 0;
    }
}

impl Member {
    fn next_greeting(&mut self, now: Duration) -> (PeerStatus, BTreeSet<SocketAddr>) {
        self.sequence += 1;
        let coordinates = self.peers.is_coordinator(now);
        let targets = match coordinates {
            true => {
                let coordinators = self.peers.coordinators(now);
                self.peers.expect_messages(now, &coordinators);
                let members = self.peers.members(now);
                coordinators.union(&members).copied().collect()
            }
            false => {
                let coordinators = self.peers.own_coordinators(now);
                self.peers.expect_messages(now, &coordinators);
                coordinators
            }
        };
        let greeting = PeerStatus {
            name: self.listed.name.clone(),
            address: self.listed.address,
            hall: self.listed.hall.clone(),
            cores_milli: self.listed.cores_milli,
            incarnation: now.as_millis() as i64 / 1_000_000,
            sequence: self.sequence + now.as_millis() as i64,
            reaches_store: true,
            is_coordinator: coordinates,
            decisions: Some(self.listed.address),
            hall_count: coordinates.then(|| self.peers.hall_count(now)),
            gateways: coordinates.then(|| self.peers.count(now).gateways()),
            preferred_coordinator: self.peers.preferred_coordinator(now).map(str::to_string),
            keeps_accounts: true,
            has_lost_paths: self.has_lost_paths,
            relays: match coordinates {
                true => self.peers.relays_to_report(now, self.sequence as usize, 3),
                false => Vec::new(),
            },
        };
        (greeting, targets)
    }
}

#[test]
fn three_gateways_of_each_hall_coordinate_and_all_others_ask_them() {
    let mut simulation = Simulation::new(6, 50);
    simulation.run(SETTLE_STEPS);
    for hall in 0..6 {
        let coordinators = simulation.coordinators(&format!("h{hall}"));
        assert_eq!(coordinators.len(), 3, "hall {hall}: {coordinators:?}");
    }
    for member in simulation.running() {
        let fleet = member.peers.fleet(simulation.now);
        assert_eq!(fleet.gateways, 300);
        match member.peers.is_coordinator(simulation.now) {
            true => assert_eq!(fleet.part, 1.0),
            false => assert_eq!(fleet.coordinators.len(), 3),
        }
    }
}

#[test]
fn a_gateway_that_asks_coordinators_knows_one_of_each_other_hall() {
    let mut simulation = Simulation::new(6, 50);
    simulation.run(SETTLE_STEPS);
    for member in simulation.running() {
        let fleet = member.peers.fleet(simulation.now);
        assert_eq!(fleet.decides, member.peers.is_coordinator(simulation.now));
        let others: BTreeSet<usize> = fleet
            .fallback_deciders
            .iter()
            .map(|a| simulation.by_address[a])
            .collect();
        let halls: BTreeSet<&str> = others
            .iter()
            .map(|i| simulation.members[*i].listed.hall.as_str())
            .collect();
        let expected = if fleet.decides { 0 } else { 5 };
        assert_eq!(halls.len(), expected, "{}", member.listed.name);
        let coordinate = |i: &usize| simulation.members[*i].peers.is_coordinator(simulation.now);
        assert!(others.iter().all(coordinate));
    }
}

#[test]
fn messages_per_step_do_not_exceed_those_to_and_from_coordinators() {
    let mut simulation = Simulation::new(6, 50);
    simulation.run(SETTLE_STEPS);
    // 282 gateways send to the three coordinators of their hall. 18 coordinators send to each other and to the 47 other
    // gateways of their hall.
    assert!(
        simulation.sent_in_step <= 282 * 3 + 18 * (17 + 47),
        "{}",
        simulation.sent_in_step
    );
}

#[test]
fn every_gateway_of_a_small_hall_decides_itself() {
    let mut simulation = Simulation::new(4, 2);
    simulation.run(SETTLE_STEPS);
    for member in simulation.running() {
        let fleet = member.peers.fleet(simulation.now);
        assert!(fleet.coordinators.is_empty());
        assert_eq!(fleet.part, 1.0);
    }
}

#[test]
fn dead_coordinators_are_replaced_until_they_run_again() {
    let mut simulation = Simulation::new(6, 50);
    simulation.run(SETTLE_STEPS);
    for index in [0, 6, 12] {
        assert!(simulation.members[index]
            .peers
            .is_coordinator(simulation.now));
        simulation.kill(index);
    }
    simulation.run(SETTLE_STEPS);
    assert_eq!(simulation.coordinators("h0").len(), 3);
    for member in simulation.running() {
        let fleet = member.peers.fleet(simulation.now);
        assert!(fleet.part == 1.0 / 300.0 || fleet.part > 0.98, "{fleet:?}");
        if !member.peers.is_coordinator(simulation.now) {
            assert_eq!(fleet.coordinators.len(), 3, "{}", member.listed.name);
        }
    }
    [0, 6, 12]
        .into_iter()
        .for_each(|index| simulation.start(index));
    simulation.run(SETTLE_STEPS);
    assert_eq!(simulation.coordinators("h0"), ["g0", "g6", "g12"]);
}

#[test]
fn both_sides_of_a_network_partition_together_use_at_most_the_shared_whole() {
    let mut simulation = Simulation::new(6, 50);
    simulation.run(SETTLE_STEPS);
    // Cuts off all coordinators of two halls and a fifth of all gateways.
    for index in (0..300).filter(|i| i % 5 == 0 || (i % 6 < 2 && *i < 18)) {
        simulation.members[index].is_cut_off = true;
    }
    simulation.run(SETTLE_STEPS);
    let sum = |cut_off: bool| {
        let side = || simulation.running().filter(|m| m.is_cut_off == cut_off);
        let alone = side().filter(|m| {
            let fleet = m.peers.fleet(simulation.now);
            fleet.coordinators.is_empty() && !m.peers.is_coordinator(simulation.now)
        });
        let alone: f64 = alone.map(|m| m.peers.fleet(simulation.now).part).sum();
        let coordinators = side().filter(|m| m.peers.is_coordinator(simulation.now));
        let parts = coordinators.map(|m| m.peers.fleet(simulation.now).part);
        alone + parts.fold(0.0, f64::max)
    };
    let (inside, outside) = (sum(false), sum(true));
    assert!(inside + outside <= 1.02, "{inside} and {outside}");
}

#[test]
fn a_gateway_is_alone_while_its_coordinators_are_silent_and_not_replaced() {
    let mut simulation = Simulation::new(6, 50);
    simulation.run(SETTLE_STEPS);
    let asking = &simulation.members[200];
    assert!(!asking.peers.fleet(simulation.now).coordinators.is_empty());
    let after_silence = simulation.now + STEP * 4;
    let fleet = asking.peers.fleet(after_silence);
    assert!(fleet.coordinators.is_empty());
    assert!(fleet.is_isolated());
    let coordinator = simulation.members[0].peers.fleet(simulation.now);
    assert!(!coordinator.is_isolated());
}

#[test]
fn a_coordinator_sends_to_each_listed_coordinator_of_another_hall_that_it_has_not_heard_yet() {
    for missing in 0..3 {
        let mut simulation = Simulation::new(2, 3);
        let heard = (0..3).filter(|other| *other != missing);
        for other in heard {
            // Gateways with an odd number belong to the other hall.
            let (greeting, _) = simulation.members[2 * other + 1].next_greeting(STEP);
            simulation.members[0].peers.receive(STEP, greeting);
        }
        let targets = simulation.members[0].peers.coordinators(STEP);
        assert!(targets.contains(&address(2 * missing + 1)), "{targets:?}");
    }
}

#[test]
fn after_a_simultaneous_start_a_gateway_first_asks_the_listed_coordinators_of_its_hall() {
    let simulation = Simulation::new(6, 50);
    let asking = &simulation.members[200];
    let fleet = asking.peers.fleet(simulation.now);
    assert!(fleet.coordinators.is_empty());
    // Gateway 200 belongs to the third hall, like the coordinators 2, 8 and 14.
    let own_hall = [address(2), address(8), address(14)];
    let first: BTreeSet<SocketAddr> = fleet.fallback_deciders[..3].iter().copied().collect();
    assert_eq!(first, BTreeSet::from(own_hall));
}

// Guards against a hall whose gateways all lost their paths and know none of another hall that has them, or all ask the
// same one.
#[test]
fn all_gateways_of_a_hall_without_paths_know_different_relays_in_other_halls() {
    const HALLS: usize = 6;
    const MIN_DISTINCT: usize = 5;
    let mut simulation = Simulation::new(HALLS, 55);
    simulation.run(SETTLE_STEPS);
    for index in (0..simulation.members.len()).step_by(HALLS) {
        simulation.members[index].has_lost_paths = true;
    }
    simulation.run(2);
    let mut first = BTreeSet::new();
    for member in simulation.members.iter().step_by(HALLS) {
        let fleet = member.peers.fleet(simulation.now);
        let sound = |relay: &SocketAddr| !simulation.by_address[relay].is_multiple_of(HALLS);
        let (name, relays) = (&member.listed.name, &fleet.relays);
        assert!(relays.first().is_some_and(sound), "{name}: {relays:?}");
        assert!(
            relays.iter().filter(|relay| sound(relay)).count() >= 3,
            "{name}: {relays:?}"
        );
        first.insert(relays[0]);
    }
    assert!(first.len() >= MIN_DISTINCT, "{first:?}");
}
