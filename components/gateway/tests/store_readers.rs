//! Who reads the store for a region, and which halls' lists are read, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gateway::{Greeting, Listed, Peers};
use topology::Topology;

const READERS: usize = 2;
const IN_HALL: usize = 10;
const HALLS: [&str; 4] = ["a1", "a2", "b1", "b2"];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn regions() -> BTreeMap<String, String> {
    let region = |hall: &&str| (hall.to_string(), hall[..1].to_string());
    HALLS.iter().map(region).collect()
}

fn topology(hall: &str) -> Topology {
    Topology::new(hall, &hall[..1], &regions())
}

fn listed(hall: &str, index: usize) -> Listed {
    let number = HALLS.iter().position(|h| *h == hall).unwrap();
    let address = SocketAddr::from(([10, 0, number as u8, index as u8], 7600));
    Listed {
        name: format!("{hall}-{index}"),
        address,
        hall: hall.into(),
        cores_milli: 120,
        decisions: Some(address),
    }
}

fn of_hall(hall: &str) -> Vec<Listed> {
    (0..IN_HALL).map(|i| listed(hall, i)).collect()
}

struct Member {
    own: Listed,
    topology: Topology,
    peers: Peers,
}

impl Member {
    fn new(own: Listed) -> Self {
        let topology = topology(&own.hall);
        let mut peers = Peers::new(own.clone());
        peers.expect_halls(topology.halls());
        Member {
            own,
            topology,
            peers,
        }
    }

    /// Reads what is due at once, and returns the halls.
    fn list(&mut self, now: Duration) -> Vec<String> {
        let mut read = Vec::new();
        while let Some(hall) = self.peers.next_hall(now, &self.topology) {
            let gateways = of_hall(&hall);
            self.peers.listed_hall(now, &hall, gateways.into_iter());
            read.push(hall);
        }
        read
    }

    fn reads(&self, now: Duration) -> bool {
        self.peers.reads_for_region(now, &self.topology, READERS)
    }

    fn greeting(&self, now: Duration, sequence: i64, reaches_store: bool) -> Greeting {
        Greeting {
            name: self.own.name.clone(),
            address: self.own.address,
            hall: self.own.hall.clone(),
            cores_milli: self.own.cores_milli,
            incarnation: 1,
            sequence,
            reaches_store,
            coordinates: self.peers.coordinates(now),
            decisions: self.own.decisions,
            hall_count: None,
            gateways: None,
            asks: None,
            keeps_accounts: true,
        }
    }
}

/// All gateways of all halls; those that are cut off from the store say so.
struct World {
    members: Vec<Member>,
    dead: BTreeSet<String>,
    away: BTreeSet<String>,
    sequence: i64,
    read: usize,
}

impl World {
    fn new() -> Self {
        let all = HALLS.iter().flat_map(|hall| of_hall(hall));
        World {
            members: all.map(Member::new).collect(),
            dead: BTreeSet::new(),
            away: BTreeSet::new(),
            sequence: 0,
            read: 0,
        }
    }

    fn step(&mut self, now: Duration) {
        self.sequence += 1;
        let dead = self.dead.clone();
        let runs = |m: &Member| !dead.contains(&m.own.name);
        let mut greetings = Vec::new();
        for member in self.members.iter_mut().filter(|m| runs(m)) {
            self.read += member.list(now).len();
            let reaches = !self.away.contains(&member.own.name);
            greetings.push(member.greeting(now, self.sequence, reaches));
        }
        for member in self.members.iter_mut().filter(|m| runs(m)) {
            let own = (member.own.name.clone(), member.peers.coordinates(now));
            for greeting in greetings.iter().filter(|g| g.name != own.0) {
                let in_hall = greeting.hall == member.own.hall;
                if (own.1 && greeting.coordinates) || (in_hall && (own.1 || greeting.coordinates)) {
                    member.peers.receive(now, greeting.clone());
                }
            }
            member.peers.tick(now);
        }
    }

    fn run(&mut self, from: u64, to: u64) -> Duration {
        for at in (from..=to).step_by(100) {
            self.step(ms(at));
        }
        ms(to)
    }

    fn readers(&self, region: &str, now: Duration) -> BTreeSet<String> {
        let running = self
            .members
            .iter()
            .filter(|m| !self.dead.contains(&m.own.name));
        let own = running.filter(|m| m.own.hall.starts_with(region));
        let reading = own.filter(|m| m.reads(now));
        reading.map(|m| m.own.name.clone()).collect()
    }
}

#[test]
fn two_gateways_of_each_region_read_the_store_also_right_after_a_start_of_all() {
    let mut world = World::new();
    let mut have_read: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for at in (0..=3000).step_by(100) {
        world.step(ms(at));
        for region in ["a", "b"] {
            let readers = world.readers(region, ms(at));
            have_read.entry(region).or_default().extend(readers);
        }
    }
    for (region, readers) in have_read {
        assert_eq!(readers.len(), READERS, "{region}: {readers:?}");
    }
}

#[test]
fn a_region_whose_readers_are_killed_at_once_finds_others_within_a_second() {
    let mut world = World::new();
    let now = world.run(0, 3000);
    let gone = world.readers("b", now);
    let others = world.readers("a", now);
    world.dead = gone.clone();
    let now = world.run(3100, 4100);
    let readers = world.readers("b", now);
    assert_eq!(readers.len(), READERS, "{readers:?}");
    assert!(readers.is_disjoint(&gone));
    assert_eq!(
        world.readers("a", now),
        others,
        "the other region keeps its own"
    );
}

#[test]
fn a_reader_that_the_store_turns_away_is_followed_by_another() {
    let mut world = World::new();
    let now = world.run(0, 3000);
    let turned_away = world.readers("b", now);
    world.away = turned_away.clone();
    let now = world.run(3100, 3300);
    assert!(world.readers("b", now).difference(&turned_away).count() >= READERS);
}

#[test]
fn only_those_that_coordinate_read_the_lists_of_other_halls() {
    let mut world = World::new();
    world.run(0, 3000);
    let all = HALLS.len() * IN_HALL;
    // Each its own, and three of each hall those of the three others.
    assert_eq!(world.read, all + HALLS.len() * 3 * (HALLS.len() - 1));
}

#[test]
fn a_gateway_that_hears_no_coordinator_reads_the_halls_of_its_region_before_the_others() {
    let all = of_hall("b1").into_iter().map(Member::new);
    let mut members: Vec<Member> = all.collect();
    for member in &mut members {
        assert_eq!(member.list(ms(0)), ["b1"]);
    }
    let mut lonely = members
        .into_iter()
        .find(|m| !m.peers.coordinates(ms(0)))
        .unwrap();
    assert!(lonely.list(ms(1000)).is_empty(), "it waits first");
    // One after the other: somebody may answer before the next is needed.
    assert_eq!(lonely.list(ms(1500)), ["b2"]);
    assert!(lonely.list(ms(1600)).is_empty(), "it waits for an answer");
    let read: Vec<String> = (1700..5000)
        .step_by(100)
        .flat_map(|at| lonely.list(ms(at)))
        .collect();
    assert_eq!(read, ["a1", "a2"]);
    assert!(lonely.list(ms(5000)).is_empty());
}

#[test]
fn halls_that_were_not_read_count_as_large_as_the_own_one() {
    let mut member = Member::new(listed("a1", 0));
    let before = member.peers.count(ms(0)).gateways();
    assert!(before > 100, "nothing is known yet: {before}");
    let hall = of_hall("a1").into_iter();
    member.peers.listed_hall(ms(0), "a1", hall);
    let count = member.peers.count(ms(0)).gateways();
    assert!(count >= HALLS.len() * IN_HALL, "{count}");
}
