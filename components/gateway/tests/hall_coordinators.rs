//! Who coordinates in each data hall, in a world of many gateways in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gateway::{Greeting, Listed, Peers};

const STEP: Duration = Duration::from_millis(500);
/// Steps until those that died are silent for all and others took their place.
const SETTLED: usize = 12;

struct Member {
    listed: Listed,
    peers: Peers,
    sequence: i64,
    runs: bool,
    cut_off: bool,
}

struct World {
    now: Duration,
    members: Vec<Member>,
    by_address: BTreeMap<SocketAddr, usize>,
    sent: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7600))
}

impl World {
    /// Gateways in halls, three of them larger in each, that all read the store's list.
    fn new(halls: usize, in_each: usize) -> Self {
        let listed = (0..halls * in_each).map(|i| Listed {
            name: format!("g{i}"),
            address: address(i),
            hall: format!("h{}", i % halls),
            cores_milli: if i / halls < 3 { 500 } else { 120 },
            decisions: Some(address(i)),
        });
        let all: Vec<Listed> = listed.collect();
        let members = all.iter().map(|own| {
            let mut peers = Peers::new(own.clone());
            peers.listed(Duration::ZERO, all.iter().cloned());
            Member {
                listed: own.clone(),
                peers,
                sequence: 0,
                runs: true,
                cut_off: false,
            }
        });
        World {
            now: Duration::ZERO,
            members: members.collect(),
            by_address: (0..all.len()).map(|i| (address(i), i)).collect(),
            sent: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.sent = 0;
        for from in 0..self.members.len() {
            if !self.members[from].runs {
                continue;
            }
            let (greeting, targets) = self.members[from].says(self.now);
            self.sent += targets.len();
            for target in targets {
                let Some(to) = self.by_address.get(&target).copied() else {
                    continue;
                };
                let reached = self.members[from].cut_off == self.members[to].cut_off;
                if reached && self.members[to].runs {
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
        let coordinating = own.filter(|m| m.peers.coordinates(now));
        coordinating.map(|m| m.listed.name.as_str()).collect()
    }

    fn running(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.runs)
    }

    fn kill(&mut self, index: usize) {
        self.members[index].runs = false;
    }

    fn start(&mut self, index: usize) {
        let all: Vec<Listed> = self.members.iter().map(|m| m.listed.clone()).collect();
        let member = &mut self.members[index];
        member.runs = true;
        member.peers = Peers::new(member.listed.clone());
        member.peers.listed(self.now, all.into_iter());
        member.sequence = 0;
    }
}

impl Member {
    fn says(&mut self, now: Duration) -> (Greeting, BTreeSet<SocketAddr>) {
        self.sequence += 1;
        let coordinates = self.peers.coordinates(now);
        let targets = match coordinates {
            true => {
                let coordinators = self.peers.coordinators(now);
                self.peers.expect(now, &coordinators);
                let members = self.peers.members(now);
                coordinators.union(&members).copied().collect()
            }
            false => {
                let coordinators = self.peers.own_coordinators(now);
                self.peers.expect(now, &coordinators);
                coordinators
            }
        };
        let greeting = Greeting {
            name: self.listed.name.clone(),
            address: self.listed.address,
            hall: self.listed.hall.clone(),
            cores_milli: self.listed.cores_milli,
            incarnation: now.as_millis() as i64 / 1_000_000,
            sequence: self.sequence + now.as_millis() as i64,
            reaches_store: true,
            coordinates,
            decisions: Some(self.listed.address),
            hall_count: coordinates.then(|| self.peers.hall_count(now)),
            gateways: coordinates.then(|| self.peers.count(now).gateways()),
            asks: self.peers.asks(now).map(str::to_string),
            keeps_accounts: true,
        };
        (greeting, targets)
    }
}

#[test]
fn in_each_hall_the_three_largest_gateways_coordinate_and_all_others_ask_them() {
    let mut world = World::new(6, 50);
    world.run(SETTLED);
    for hall in 0..6 {
        let coordinators = world.coordinators(&format!("h{hall}"));
        assert_eq!(coordinators.len(), 3, "hall {hall}: {coordinators:?}");
    }
    for member in world.running() {
        let fleet = member.peers.fleet(world.now);
        assert_eq!(fleet.gateways, 300);
        match member.peers.coordinates(world.now) {
            true => assert_eq!(fleet.part, 1.0),
            false => assert_eq!(fleet.coordinators.len(), 3),
        }
    }
}

#[test]
fn a_gateway_that_asks_knows_a_coordinator_of_each_other_hall() {
    let mut world = World::new(6, 50);
    world.run(SETTLED);
    for member in world.running() {
        let fleet = member.peers.fleet(world.now);
        assert_eq!(fleet.decides, member.peers.coordinates(world.now));
        let others: BTreeSet<usize> = fleet.others.iter().map(|a| world.by_address[a]).collect();
        let halls: BTreeSet<&str> = others
            .iter()
            .map(|i| world.members[*i].listed.hall.as_str())
            .collect();
        let expected = if fleet.decides { 0 } else { 5 };
        assert_eq!(halls.len(), expected, "{}", member.listed.name);
        let coordinate = |i: &usize| world.members[*i].peers.coordinates(world.now);
        assert!(others.iter().all(coordinate));
    }
}

#[test]
fn gateways_say_little_to_each_other_however_many_there_are() {
    let mut world = World::new(6, 50);
    world.run(SETTLED);
    // Each of 282 to the three of its hall, 18 to each other and to the others of their hall.
    assert!(world.sent <= 282 * 3 + 18 * (17 + 47), "{}", world.sent);
}

#[test]
fn where_halls_are_small_every_gateway_decides_for_itself() {
    let mut world = World::new(4, 2);
    world.run(SETTLED);
    for member in world.running() {
        let fleet = member.peers.fleet(world.now);
        assert!(fleet.coordinators.is_empty());
        assert_eq!(fleet.part, 1.0);
    }
}

#[test]
fn others_take_the_place_of_coordinators_that_died_and_give_it_back() {
    let mut world = World::new(6, 50);
    world.run(SETTLED);
    for index in [0, 6, 12] {
        assert!(world.members[index].peers.coordinates(world.now));
        world.kill(index);
    }
    world.run(SETTLED);
    assert_eq!(world.coordinators("h0").len(), 3);
    for member in world.running() {
        let fleet = member.peers.fleet(world.now);
        assert!(fleet.part == 1.0 / 300.0 || fleet.part > 0.98, "{fleet:?}");
        if !member.peers.coordinates(world.now) {
            assert_eq!(fleet.coordinators.len(), 3, "{}", member.listed.name);
        }
    }
    [0, 6, 12].into_iter().for_each(|index| world.start(index));
    world.run(SETTLED);
    assert_eq!(world.coordinators("h0"), ["g0", "g6", "g12"]);
}

#[test]
fn gateways_that_are_cut_off_from_the_others_use_no_more_than_their_part_together() {
    let mut world = World::new(6, 50);
    world.run(SETTLED);
    // All coordinators of two halls and a fifth of the others.
    for index in (0..300).filter(|i| i % 5 == 0 || (i % 6 < 2 && *i < 18)) {
        world.members[index].cut_off = true;
    }
    world.run(SETTLED);
    let sum = |cut_off: bool| {
        let side = || world.running().filter(|m| m.cut_off == cut_off);
        let alone = side().filter(|m| {
            let fleet = m.peers.fleet(world.now);
            fleet.coordinators.is_empty() && !m.peers.coordinates(world.now)
        });
        let alone: f64 = alone.map(|m| m.peers.fleet(world.now).part).sum();
        let coordinators = side().filter(|m| m.peers.coordinates(world.now));
        let most = coordinators.map(|m| m.peers.fleet(world.now).part);
        alone + most.fold(0.0, f64::max)
    };
    let (inside, outside) = (sum(false), sum(true));
    assert!(inside + outside <= 1.02, "{inside} and {outside}");
}

#[test]
fn a_gateway_is_alone_while_its_coordinators_are_silent_and_no_other_took_their_place() {
    let mut world = World::new(6, 50);
    world.run(SETTLED);
    let asking = &world.members[200];
    assert!(!asking.peers.fleet(world.now).coordinators.is_empty());
    let silent_since = world.now + STEP * 4;
    let fleet = asking.peers.fleet(silent_since);
    assert!(fleet.coordinators.is_empty());
    assert!(fleet.is_alone());
    let coordinator = world.members[0].peers.fleet(world.now);
    assert!(!coordinator.is_alone());
}

#[test]
fn a_coordinator_sends_to_all_three_of_a_hall_until_it_hears_them() {
    for missing in 0..3 {
        let mut world = World::new(2, 3);
        let is_alive = (0..3).filter(|other| *other != missing);
        for other in is_alive {
            // Those with an odd number are of the other hall.
            let (greeting, _) = world.members[2 * other + 1].says(STEP);
            world.members[0].peers.receive(STEP, greeting);
        }
        let targets = world.members[0].peers.coordinators(STEP);
        assert!(targets.contains(&address(2 * missing + 1)), "{targets:?}");
    }
}

#[test]
fn after_a_start_of_all_a_gateway_asks_the_coordinators_that_it_has_not_heard_yet() {
    let world = World::new(6, 50);
    let asking = &world.members[200];
    let fleet = asking.peers.fleet(world.now);
    assert!(fleet.coordinators.is_empty());
    // Number 200 is of the third hall, as the coordinators 2, 8 and 14.
    let own_hall = [address(2), address(8), address(14)];
    let first: BTreeSet<SocketAddr> = fleet.others[..3].iter().copied().collect();
    assert_eq!(first, BTreeSet::from(own_hall));
}
