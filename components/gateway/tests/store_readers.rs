//! Which gateways read the store for their region and which hall lists they read, simulated in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gateway::{ListedGateway, PeerStatus, Peers};
use topology::Topology;

const READERS: usize = 2;
const GATEWAYS_PER_HALL: usize = 10;
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

fn listed(hall: &str, index: usize) -> ListedGateway {
    let number = HALLS.iter().position(|h| *h == hall).unwrap();
    let address = SocketAddr::from(([10, 0, number as u8, index as u8], 7600));
    ListedGateway {
        name: format!("{hall}-{index}"),
        address,
        hall: hall.into(),
        cores_milli: 120,
        decisions: Some(address),
    }
}

fn of_hall(hall: &str) -> Vec<ListedGateway> {
    (0..GATEWAYS_PER_HALL).map(|i| listed(hall, i)).collect()
}

struct Member {
    own: ListedGateway,
    topology: Topology,
    peers: Peers,
}

impl Member {
    fn new(own: ListedGateway) -> Self {
        let topology = topology(&own.hall);
        let mut peers = Peers::new(own.clone());
        peers.set_halls(topology.halls());
        Member {
            own,
            topology,
            peers,
        }
    }

    /// Reads the lists of all halls that are due, and returns the halls.
    fn read_due_lists(&mut self, now: Duration) -> Vec<String> {
        let mut read = Vec::new();
        while let Some(hall) = self.peers.next_hall_to_list(now, &self.topology) {
            let gateways = of_hall(&hall);
            self.peers.apply_hall_list(now, &hall, gateways.into_iter());
            read.push(hall);
        }
        read
    }

    fn reads(&self, now: Duration) -> bool {
        self.peers.is_region_reader(now, &self.topology, READERS)
    }

    fn greeting(&self, now: Duration, sequence: i64, reaches_store: bool) -> PeerStatus {
        PeerStatus {
            name: self.own.name.clone(),
            address: self.own.address,
            hall: self.own.hall.clone(),
            cores_milli: self.own.cores_milli,
            incarnation: 1,
            sequence,
            reaches_store,
            is_coordinator: self.peers.is_coordinator(now),
            decisions: self.own.decisions,
            hall_count: None,
            gateways: None,
            preferred_coordinator: None,
            keeps_accounts: true,
            has_lost_paths: false,
            relays: Vec::new(),
        }
    }
}

/// Simulates all gateways of all halls; gateways that cannot reach the store report it.
struct Simulation {
    members: Vec<Member>,
    dead: BTreeSet<String>,
    cut_from_store: BTreeSet<String>,
    sequence: i64,
    lists_read: usize,
}

impl Simulation {
    fn new() -> Self {
        let all = HALLS.iter().flat_map(|hall| of_hall(hall));
        Simulation {
            members: all.map(Member::new).collect(),
            dead: BTreeSet::new(),
            cut_from_store: BTreeSet::new(),
            sequence: 0,
            lists_read: 0,
        }
    }

    fn step(&mut self, now: Duration) {
        self.sequence += 1;
        let dead = self.dead.clone();
        let runs = |m: &Member| !dead.contains(&m.own.name);
        let mut greetings = Vec::new();
        for member in self.members.iter_mut().filter(|m| runs(m)) {
            self.lists_read += member.read_due_lists(now).len();
            let reaches = !self.cut_from_store.contains(&member.own.name);
            greetings.push(member.greeting(now, self.sequence, reaches));
        }
        for member in self.members.iter_mut().filter(|m| runs(m)) {
            let own = (member.own.name.clone(), member.peers.is_coordinator(now));
            for greeting in greetings.iter().filter(|g| g.name != own.0) {
                let in_hall = greeting.hall == member.own.hall;
                if (own.1 && greeting.is_coordinator)
                    || (in_hall && (own.1 || greeting.is_coordinator))
                {
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
fn only_two_gateways_of_each_region_read_the_store_from_a_simultaneous_start_on() {
    let mut simulation = Simulation::new();
    let mut have_read: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for at in (0..=3000).step_by(100) {
        simulation.step(ms(at));
        for region in ["a", "b"] {
            let readers = simulation.readers(region, ms(at));
            have_read.entry(region).or_default().extend(readers);
        }
    }
    for (region, readers) in have_read {
        assert_eq!(readers.len(), READERS, "{region}: {readers:?}");
    }
}

#[test]
fn a_region_whose_readers_die_together_has_others_within_a_second() {
    let mut simulation = Simulation::new();
    let now = simulation.run(0, 3000);
    let gone = simulation.readers("b", now);
    let others = simulation.readers("a", now);
    simulation.dead = gone.clone();
    let now = simulation.run(3100, 4100);
    let readers = simulation.readers("b", now);
    assert_eq!(readers.len(), READERS, "{readers:?}");
    assert!(readers.is_disjoint(&gone));
    assert_eq!(
        simulation.readers("a", now),
        others,
        "the readers of the other region changed"
    );
}

#[test]
fn readers_refused_by_the_store_are_replaced() {
    let mut simulation = Simulation::new();
    let now = simulation.run(0, 3000);
    let refused = simulation.readers("b", now);
    simulation.cut_from_store = refused.clone();
    let now = simulation.run(3100, 3300);
    assert!(simulation.readers("b", now).difference(&refused).count() >= READERS);
}

#[test]
fn only_coordinators_read_the_lists_of_other_halls() {
    let mut simulation = Simulation::new();
    simulation.run(0, 3000);
    let all = HALLS.len() * GATEWAYS_PER_HALL;
    // Every gateway reads its own list, and the three coordinators of each hall read those of the other halls.
    assert_eq!(
        simulation.lists_read,
        all + HALLS.len() * 3 * (HALLS.len() - 1)
    );
}

#[test]
fn a_gateway_without_reachable_coordinators_reads_lists_of_its_region_before_those_of_others() {
    let all = of_hall("b1").into_iter().map(Member::new);
    let mut members: Vec<Member> = all.collect();
    for member in &mut members {
        assert_eq!(member.read_due_lists(ms(0)), ["b1"]);
    }
    let mut isolated = members
        .into_iter()
        .find(|m| !m.peers.is_coordinator(ms(0)))
        .unwrap();
    assert!(
        isolated.read_due_lists(ms(1000)).is_empty(),
        "read before the first wait ended"
    );
    // It reads one list at a time, since a gateway of that list may answer before the next one is needed.
    assert_eq!(isolated.read_due_lists(ms(1500)), ["b2"]);
    assert!(
        isolated.read_due_lists(ms(1600)).is_empty(),
        "read while an answer may still come"
    );
    let read: Vec<String> = (1700..5000)
        .step_by(100)
        .flat_map(|at| isolated.read_due_lists(ms(at)))
        .collect();
    assert_eq!(read, ["a1", "a2"]);
    assert!(isolated.read_due_lists(ms(5000)).is_empty());
}

#[test]
fn unread_halls_count_as_many_gateways_as_the_own_hall() {
    let mut member = Member::new(listed("a1", 0));
    let before = member.peers.count(ms(0)).gateways();
    assert!(
        before > 100,
        "too few gateways assumed before any list was read: {before}"
    );
    let hall = of_hall("a1").into_iter();
    member.peers.apply_hall_list(ms(0), "a1", hall);
    let count = member.peers.count(ms(0)).gateways();
    assert!(count >= HALLS.len() * GATEWAYS_PER_HALL, "{count}");
}
