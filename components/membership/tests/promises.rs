//! Membership, leaves and versions under loss, deaths, cuts and restarts.

mod common;

use std::time::Duration;

use common::{load, Net};
use fakes::check;
use rand::RngExt;
use schema::messages::MemberState;
use state::Version;

const ENDPOINTS: [&str; 6] = ["w0", "w1", "w2", "w3", "w4", "w5"];
/// A leave is known to the whole cell within this time.
const LEAVE_KNOWN: Duration = Duration::from_secs(3);
/// A version is known everywhere within this time after the faults stop.
const VERSION_KNOWN: Duration = Duration::from_secs(17);

fn cell_of(seed: u64, nodes: usize) -> Net {
    let mut net = Net::new(seed);
    for name in ENDPOINTS {
        net.loads.insert(name.into(), load(1, 1));
    }
    for _ in 0..nodes {
        net.add("home", &ENDPOINTS);
        net.run(Duration::from_millis(200));
    }
    net
}

#[test]
fn a_cell_comes_together_within_two_seconds_of_the_last_start() {
    check(60, |seed| {
        let mut net = cell_of(seed, 3 + (seed % 10) as usize);
        net.run(Duration::from_secs(2));
        net.agrees()
    });
}

#[test]
fn a_cell_of_thirty_that_starts_at_once_leaves_nobody_out() {
    check(6, |seed| {
        let mut net = Net::new(seed);
        for _ in 0..30 {
            net.add("home", &ENDPOINTS);
        }
        net.run(Duration::from_secs(60));
        net.agrees()
    });
}

#[test]
fn a_cell_comes_together_under_heavy_loss() {
    check(40, |seed| {
        let mut net = cell_of(seed, 3 + (seed % 6) as usize);
        net.wire.loss = 0.3;
        net.run(Duration::from_secs(30));
        net.wire.loss = 0.0;
        net.run(Duration::from_secs(15));
        net.agrees()
    });
}

#[test]
fn a_dead_node_is_found_and_a_living_one_is_kept() {
    check(60, |seed| {
        let mut net = cell_of(seed, 4 + (seed % 8) as usize);
        net.run(Duration::from_secs(2));
        let dead = net.rng.random_range(0..net.peers.len());
        net.peers[dead].alive = false;
        net.run(Duration::from_secs(30));
        net.agrees()
    });
}

#[test]
fn the_two_sides_of_a_cut_find_each_other_again() {
    check(40, |seed| {
        let nodes = 4 + (seed % 6) as usize;
        let mut net = cell_of(seed, nodes);
        net.run(Duration::from_secs(2));
        let below = net.rng.random_range(1..nodes);
        net.cut(below);
        net.run(Duration::from_secs(180));
        net.wire.groups.clear();
        net.run(Duration::from_secs(60));
        net.agrees()
    });
}

#[test]
fn a_leave_is_known_everywhere_in_time_even_under_loss() {
    check(150, |seed| {
        let mut net = cell_of(seed, 3 + (seed % 10) as usize);
        net.run(Duration::from_secs(3));
        net.wire.loss = 0.3;
        let name = ENDPOINTS[net.rng.random_range(0..ENDPOINTS.len())];
        let reported = net.rng.random_range(0..net.peers.len());
        let now = net.now;
        let outputs =
            net.peers[reported]
                .cell
                .record_reclaim_notice(now, name, Duration::from_secs(30));
        net.outputs(reported, outputs);
        net.run(LEAVE_KNOWN);
        net.peers.iter().all(|p| p.leaving.contains_key(name))
    });
}

#[test]
fn no_old_message_makes_a_leaving_endpoint_usable() {
    check(60, |seed| {
        let mut net = cell_of(seed, 5);
        net.run(Duration::from_secs(3));
        let now = net.now;
        let outputs = net.peers[0]
            .cell
            .record_reclaim_notice(now, "w2", Duration::from_secs(9));
        net.outputs(0, outputs);
        net.wire.loss = 0.2;
        net.run(LEAVE_KNOWN * 2);
        let known = net.peers.iter().all(|p| p.leaving.contains_key("w2"));
        net.run(Duration::from_secs(20));
        known && net.peers.iter().all(|p| p.leaving.contains_key("w2"))
    });
}

#[test]
fn an_endpoint_is_usable_again_once_its_vm_is_replaced() {
    let mut net = cell_of(1, 5);
    net.run(Duration::from_secs(3));
    let now = net.now;
    let outputs = net.peers[0]
        .cell
        .record_reclaim_notice(now, "w2", Duration::from_secs(9));
    net.outputs(0, outputs);
    net.run(LEAVE_KNOWN);
    net.loads.insert("w2".into(), load(0, 2));
    net.run(Duration::from_secs(5));
    assert!(net.peers.iter().all(|p| !p.leaving.contains_key("w2")));
}

#[test]
fn a_second_notice_counts_when_it_is_sooner() {
    let mut net = cell_of(1, 3);
    net.run(Duration::from_secs(3));
    for left in [30, 60, 5] {
        let now = net.now;
        let outputs = net.peers[0]
            .cell
            .record_reclaim_notice(now, "w2", Duration::from_secs(left));
        net.peers[0].leaving.remove("w2");
        net.outputs(0, outputs);
    }
    let left = net.peers[0].leaving["w2"] - net.now;
    assert_eq!(left, Duration::from_secs(5));
}

#[test]
fn a_notice_before_the_first_reading_is_not_forgotten_with_it() {
    let mut net = Net::new(1);
    net.add("home", &ENDPOINTS);
    let outputs =
        net.peers[0]
            .cell
            .record_reclaim_notice(Duration::ZERO, "w2", Duration::from_secs(9));
    net.outputs(0, outputs);
    net.loads.insert("w2".into(), load(0, 7));
    net.run(Duration::from_secs(3));
    assert!(net.peers[0].leaving.contains_key("w2"));
}

#[test]
fn every_endpoint_is_read_by_two_nodes() {
    let mut net = cell_of(3, 6);
    net.run(Duration::from_secs(3));
    let read_by = |p: &common::Peer| ENDPOINTS.iter().filter(|e| p.cell.is_reader_of(e)).count();
    let readers: usize = net.peers.iter().map(read_by).sum();
    assert_eq!(readers, 2 * ENDPOINTS.len());
}

#[test]
fn a_version_is_known_to_all_cells_in_time_under_loss() {
    check(40, |seed| {
        let mut net = Net::new(seed);
        for n in 0..9 {
            net.add(["a", "b", "c"][n % 3], &ENDPOINTS);
        }
        net.run(Duration::from_secs(5));
        net.wire.loss = 0.3;
        let first = net.rng.random_range(0..9);
        let now = net.now;
        let version = Version {
            number: 5,
            hash: "h5".into(),
        };
        net.peers[first].cell.set_config(now, version.clone());
        net.peers[first].received_version = 5;
        let until = now + VERSION_KNOWN;
        while net.now < until {
            net.step();
            // A node that learns of a version fetches it and passes it on.
            for n in 0..9 {
                if net.peers[n].received_version == 5 && net.peers[n].version.number < 5 {
                    net.peers[n].version = version.clone();
                    let now = net.now;
                    net.peers[n].cell.set_config(now, version.clone());
                }
            }
        }
        net.peers.iter().all(|p| p.received_version == 5)
    });
}

#[test]
fn a_node_started_again_with_an_older_clock_is_let_in() {
    let mut net = cell_of(5, 4);
    net.run(Duration::from_secs(20));
    let terms = membership::NodeIdentity {
        name: "n2".into(),
        cell: "home".into(),
        address: common::address(2),
        incarnation: 1 - 1000,
    };
    let mut cell = membership::Cell::new(terms);
    cell.add_contacts(vec![membership::Contact {
        name: "n0".into(),
        cell: "home".into(),
        address: common::address(0),
    }]);
    net.peers[2].cell = cell;
    net.run(Duration::from_secs(20));
    assert!(net.agrees());
}

#[test]
fn a_node_that_stops_is_given_no_duty() {
    let mut net = cell_of(9, 5);
    net.run(Duration::from_secs(3));
    let now = net.now;
    let outputs = net.peers[1].cell.leave(now);
    net.outputs(1, outputs);
    net.run(Duration::from_secs(2));
    let knows = |p: &common::Peer| {
        p.cell
            .members()
            .any(|m| m.gossip.name == "n1" && m.gossip.state == MemberState::LEAVING)
    };
    assert!(net
        .peers
        .iter()
        .enumerate()
        .all(|(n, p)| n == 1 || knows(p)));
    assert!(!net.peers[1].cell.has_duty("anything", 5));
}
