//! Membership, leaves and configuration versions under packet loss, node failures, partitions and
//! restarts.

mod common;

use std::time::Duration;

use common::{load, TestNetwork};
use fakes::check;
use rand::RngExt;
use schema::messages::MemberState;
use state::Version;

const ENDPOINTS: [&str; 6] = ["w0", "w1", "w2", "w3", "w4", "w5"];
/// Upper limit of the time until the whole cell knows of a leave.
const MAX_LEAVE_DELAY: Duration = Duration::from_secs(3);
/// Upper limit of the time until all nodes know a configuration version.
const MAX_VERSION_DELAY: Duration = Duration::from_secs(17);

fn start_cell(seed: u64, nodes: usize) -> TestNetwork {
    let mut net = TestNetwork::new(seed);
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
fn a_cell_converges_within_two_seconds_of_the_last_start() {
    check(60, |seed| {
        let mut net = start_cell(seed, 3 + (seed % 10) as usize);
        net.run(Duration::from_secs(2));
        net.has_converged()
    });
}

#[test]
fn thirty_nodes_that_start_at_once_converge() {
    check(6, |seed| {
        let mut net = TestNetwork::new(seed);
        for _ in 0..30 {
            net.add("home", &ENDPOINTS);
        }
        net.run(Duration::from_secs(60));
        net.has_converged()
    });
}

#[test]
fn a_cell_converges_after_heavy_packet_loss() {
    check(40, |seed| {
        let mut net = start_cell(seed, 3 + (seed % 6) as usize);
        net.wire.loss = 0.3;
        net.run(Duration::from_secs(30));
        net.wire.loss = 0.0;
        net.run(Duration::from_secs(15));
        net.has_converged()
    });
}

#[test]
fn a_dead_node_is_detected_and_live_nodes_stay_members() {
    check(60, |seed| {
        let mut net = start_cell(seed, 4 + (seed % 8) as usize);
        net.run(Duration::from_secs(2));
        let dead = net.rng.random_range(0..net.peers.len());
        net.peers[dead].alive = false;
        net.run(Duration::from_secs(30));
        net.has_converged()
    });
}

#[test]
fn the_two_sides_of_a_healed_partition_converge() {
    check(40, |seed| {
        let nodes = 4 + (seed % 6) as usize;
        let mut net = start_cell(seed, nodes);
        net.run(Duration::from_secs(2));
        let below = net.rng.random_range(1..nodes);
        net.partition(below);
        net.run(Duration::from_secs(180));
        net.wire.groups.clear();
        net.run(Duration::from_secs(60));
        net.has_converged()
    });
}

#[test]
fn a_leave_reaches_the_whole_cell_in_time_under_packet_loss() {
    check(150, |seed| {
        let mut net = start_cell(seed, 3 + (seed % 10) as usize);
        net.run(Duration::from_secs(3));
        net.wire.loss = 0.3;
        let name = ENDPOINTS[net.rng.random_range(0..ENDPOINTS.len())];
        let notified = net.rng.random_range(0..net.peers.len());
        let now = net.now;
        let outputs =
            net.peers[notified]
                .cell
                .record_reclaim_notice(now, name, Duration::from_secs(30));
        net.apply_outputs(notified, outputs);
        net.run(MAX_LEAVE_DELAY);
        net.peers.iter().all(|p| p.leaving.contains_key(name))
    });
}

#[test]
fn stale_gossip_does_not_make_a_leaving_endpoint_usable() {
    check(60, |seed| {
        let mut net = start_cell(seed, 5);
        net.run(Duration::from_secs(3));
        let now = net.now;
        let outputs = net.peers[0]
            .cell
            .record_reclaim_notice(now, "w2", Duration::from_secs(9));
        net.apply_outputs(0, outputs);
        net.wire.loss = 0.2;
        net.run(MAX_LEAVE_DELAY * 2);
        let known = net.peers.iter().all(|p| p.leaving.contains_key("w2"));
        net.run(Duration::from_secs(20));
        known && net.peers.iter().all(|p| p.leaving.contains_key("w2"))
    });
}

#[test]
fn an_endpoint_is_usable_again_once_its_vm_is_replaced() {
    let mut net = start_cell(1, 5);
    net.run(Duration::from_secs(3));
    let now = net.now;
    let outputs = net.peers[0]
        .cell
        .record_reclaim_notice(now, "w2", Duration::from_secs(9));
    net.apply_outputs(0, outputs);
    net.run(MAX_LEAVE_DELAY);
    net.loads.insert("w2".into(), load(0, 2));
    net.run(Duration::from_secs(5));
    assert!(net.peers.iter().all(|p| !p.leaving.contains_key("w2")));
}

#[test]
fn a_second_notice_applies_if_its_leave_time_is_earlier() {
    let mut net = start_cell(1, 3);
    net.run(Duration::from_secs(3));
    for time_left in [30, 60, 5] {
        let now = net.now;
        let outputs =
            net.peers[0]
                .cell
                .record_reclaim_notice(now, "w2", Duration::from_secs(time_left));
        net.peers[0].leaving.remove("w2");
        net.apply_outputs(0, outputs);
    }
    let time_left = net.peers[0].leaving["w2"] - net.now;
    assert_eq!(time_left, Duration::from_secs(5));
}

#[test]
fn a_notice_before_the_first_reading_survives_the_reading() {
    let mut net = TestNetwork::new(1);
    net.add("home", &ENDPOINTS);
    let outputs =
        net.peers[0]
            .cell
            .record_reclaim_notice(Duration::ZERO, "w2", Duration::from_secs(9));
    net.apply_outputs(0, outputs);
    net.loads.insert("w2".into(), load(0, 7));
    net.run(Duration::from_secs(3));
    assert!(net.peers[0].leaving.contains_key("w2"));
}

#[test]
fn every_endpoint_is_read_by_two_nodes() {
    let mut net = start_cell(3, 6);
    net.run(Duration::from_secs(3));
    let read_by = |p: &common::Peer| ENDPOINTS.iter().filter(|e| p.cell.is_reader_of(e)).count();
    let readers: usize = net.peers.iter().map(read_by).sum();
    assert_eq!(readers, 2 * ENDPOINTS.len());
}

#[test]
fn a_config_version_reaches_all_cells_in_time_under_packet_loss() {
    check(40, |seed| {
        let mut net = TestNetwork::new(seed);
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
        let until = now + MAX_VERSION_DELAY;
        while net.now < until {
            net.step();
            // A node that learns of a version fetches it, which puts it in force and into its
            // packets.
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
fn a_node_restarted_with_a_lower_incarnation_rejoins() {
    let mut net = start_cell(5, 4);
    net.run(Duration::from_secs(20));
    let identity = membership::NodeIdentity {
        name: "n2".into(),
        cell: "home".into(),
        address: common::address(2),
        incarnation: 1 - 1000,
    };
    let mut cell = membership::Cell::new(identity);
    cell.add_contacts(vec![membership::Contact {
        name: "n0".into(),
        cell: "home".into(),
        address: common::address(0),
    }]);
    net.peers[2].cell = cell;
    net.run(Duration::from_secs(20));
    assert!(net.has_converged());
}

#[test]
fn a_leaving_node_is_given_no_duty() {
    let mut net = start_cell(9, 5);
    net.run(Duration::from_secs(3));
    let now = net.now;
    let outputs = net.peers[1].cell.leave(now);
    net.apply_outputs(1, outputs);
    net.run(Duration::from_secs(2));
    let knows_of_leave = |p: &common::Peer| {
        p.cell
            .members()
            .any(|m| m.gossip.name == "n1" && m.gossip.state == MemberState::LEAVING)
    };
    assert!(net
        .peers
        .iter()
        .enumerate()
        .all(|(n, p)| n == 1 || knows_of_leave(p)));
    assert!(!net.peers[1].cell.has_duty("anything", 5));
}
