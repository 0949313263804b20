//! What many nodes do together: versions, leaves, leases, limits, and a platform that is down.

use std::time::Duration;

use fakes::{check, load, CoreFleet, FleetTerms, CALM, ROUGH};
use rand::RngExt;

/// A configuration is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(17);
/// A leave is known to the whole cell within this time.
const LEAVE_KNOWN: Duration = Duration::from_secs(3);
/// Overshoot of a limit that is allowed while demand moves, in thousandths.
const OVERSHOOT_MILLI: u64 = 100;

fn terms(seed: u64) -> FleetTerms {
    let nodes = 3 + (seed % 10) as usize;
    let first = nodes.div_ceil(2);
    FleetTerms {
        seed,
        cells: vec![first, nodes - first],
        endpoints: 4,
        teams: 2,
    }
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn versions_never_come_into_force_in_reverse_order() {
    check(40, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), ROUGH);
        fleet.wire.loss = 0.2;
        for number in 1..12 {
            fleet.publish(number);
            let wait = fleet.rng().random_range(0..6000);
            fleet.run(Duration::from_millis(wait));
            let n = fleet.any_node();
            fleet.peers[n].up = !fleet.peers[n].up;
        }
        let grows = |p: &fakes::Peer| p.applied.windows(2).all(|w| w[0].1 < w[1].1);
        fleet.peers.iter().all(grows)
    });
}

#[test]
fn every_node_has_the_newest_version_in_time_after_the_faults_stop() {
    check(40, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), ROUGH);
        fleet.wire.loss = 0.3;
        fleet.run(secs(20));
        fleet.publish(7);
        fleet.wire.loss = 0.0;
        fleet.table.faults = CALM;
        fleet.run(IN_FORCE);
        fleet.all_have(7)
    });
}

#[test]
fn every_node_has_the_newest_version_in_time_under_loss() {
    check(40, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), CALM);
        fleet.run(secs(10));
        fleet.wire.loss = 0.3;
        fleet.publish(7);
        fleet.run(IN_FORCE);
        fleet.all_have(7)
    });
}

#[test]
fn a_node_that_starts_takes_the_newest_version_before_it_is_current() {
    check(20, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), CALM);
        fleet.publish(3);
        fleet.run(secs(10));
        // The table is down: only peers can report.
        fleet.table.faults.lost = 1000;
        fleet.restart(0);
        let before = fleet.peers[0].applied.len();
        while !fleet.peers[0].core.is_current() && fleet.now < secs(60) {
            fleet.step();
        }
        let reported = fleet.peers[0].applied[before..].last().map(|(_, v)| *v);
        reported == Some(3) && fleet.now < secs(13)
    });
}

#[test]
fn cells_that_start_at_once_come_together_whole() {
    check(2, |seed| {
        let terms = FleetTerms {
            seed,
            cells: vec![30, 12, 30, 8, 20],
            endpoints: 4,
            teams: 2,
        };
        let mut fleet = CoreFleet::start(terms, CALM);
        fleet.run(secs(60));
        let sizes = [30, 12, 30, 8, 20];
        fleet
            .peers
            .iter()
            .all(|p| p.core.cell().size() == sizes[p.cell])
    });
}

#[test]
fn a_leave_reaches_the_cell_in_time_and_the_other_cells_soon_after() {
    check(40, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), CALM);
        fleet.run(secs(10));
        fleet.wire.loss = 0.3;
        fleet.notice(0, "w0-1", secs(30));
        fleet.run(LEAVE_KNOWN);
        let knows = |p: &fakes::Peer| p.leaving.contains_key("w0-1");
        let own = fleet.peers.iter().filter(|p| p.cell == 0).all(knows);
        fleet.run(secs(20));
        own && fleet.peers.iter().all(knows)
    });
}

#[test]
fn other_cells_use_an_endpoint_again_once_it_is_replaced() {
    let mut fleet = CoreFleet::start(terms(5), CALM);
    fleet.run(secs(10));
    fleet.notice(0, "w0-1", secs(5));
    fleet.run(secs(10));
    fleet.loads.insert("w0-1".into(), load(0, 2));
    fleet.run(secs(15));
    assert!(fleet.peers.iter().all(|p| !p.leaving.contains_key("w0-1")));
}

#[test]
fn one_node_holds_the_lease_and_another_takes_it_over() {
    check(20, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), CALM);
        fleet.run(secs(60));
        let holder = |f: &CoreFleet| -> Vec<usize> {
            let holds = |n: &usize| f.peers[*n].core.order_window(f.now).is_some();
            (0..f.peers.len()).filter(holds).collect()
        };
        let first = holder(&fleet);
        if first.len() != 1 {
            return false;
        }
        fleet.peers[first[0]].up = false;
        fleet.run(secs(90));
        let living: Vec<usize> = holder(&fleet)
            .into_iter()
            .filter(|n| fleet.peers[*n].up)
            .collect();
        living.len() == 1
    });
}

#[test]
fn two_nodes_never_hold_one_epoch() {
    check(20, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), ROUGH);
        fleet.wire.loss = 0.2;
        for _ in 0..30 {
            let n = fleet.any_node();
            fleet.peers[n].up = !fleet.peers[n].up;
            fleet.run(secs(5));
        }
        let mut gained: Vec<(i64, usize)> = Vec::new();
        for (n, peer) in fleet.peers.iter().enumerate() {
            gained.extend(peer.gained.iter().map(|(_, epoch)| (*epoch, n)));
        }
        gained.sort_unstable();
        gained.dedup();
        gained.windows(2).all(|w| w[0].0 < w[1].0)
    });
}

#[test]
fn an_hour_without_the_platform_is_sat_out_quietly_and_ends_without_a_herd() {
    let mut fleet = CoreFleet::start(
        FleetTerms {
            cells: vec![9],
            ..terms(1)
        },
        CALM,
    );
    fleet.publish(1);
    fleet.run(secs(30));
    let calls = |f: &CoreFleet| f.table.calls + f.cloud_calls;
    let before = calls(&fleet);
    fleet.run(secs(60));
    let ordinary = calls(&fleet) - before;
    fleet.table.faults.lost = 1000;
    let before = calls(&fleet);
    fleet.run(secs(3600));
    let down = (calls(&fleet) - before) / 60;
    assert!(
        down < ordinary / 2,
        "{down} calls a minute while down, {ordinary} before"
    );
    assert!(fleet.peers.iter().all(|p| p.core.is_current()));
    fleet.table.faults = CALM;
    fleet.publish(2);
    let before = calls(&fleet);
    fleet.run(secs(1));
    let burst = calls(&fleet) - before;
    assert!(burst < 20, "{burst} calls in the first second");
    fleet.run(IN_FORCE);
    assert!(fleet.all_have(2));
}

fn parts(fleet: &CoreFleet) -> u64 {
    let part = |p: &fakes::Peer| p.parts.get("t0").copied().unwrap_or(0);
    fleet.peers.iter().filter(|p| p.up).map(part).sum()
}

#[test]
fn a_limit_is_kept_while_demand_moves_and_nodes_come_and_go() {
    check(20, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), CALM);
        fleet.run(secs(20));
        fleet.wire.loss = 0.05;
        let mut worst = 0;
        for _ in 0..40 {
            let n = fleet.any_node();
            fleet.peers[n].demand = fleet.rng().random_range(0..50_000);
            if fleet.rng().random_ratio(1, 10) {
                fleet.peers[n].up = !fleet.peers[n].up;
            }
            fleet.run(secs(2));
            worst = worst.max(parts(&fleet));
        }
        worst <= 1000 + OVERSHOOT_MILLI
    });
}

#[test]
fn a_limit_is_kept_on_the_two_sides_of_a_cut() {
    check(20, |seed| {
        let mut fleet = CoreFleet::start(terms(seed), CALM);
        let nodes = fleet.peers.len();
        for peer in &mut fleet.peers {
            peer.demand = 10_000;
        }
        fleet.run(secs(40));
        let cut = fleet.rng().random_range(1..nodes);
        fleet.wire.groups = (0..cut).map(|n| (n, 1)).collect();
        let mut worst = 0;
        for _ in 0..60 {
            fleet.run(secs(3));
            worst = worst.max(parts(&fleet));
        }
        worst <= 1000 + OVERSHOOT_MILLI
    });
}

#[test]
fn demand_draws_the_limit_to_where_it_is() {
    let terms = FleetTerms {
        cells: vec![4, 4],
        ..terms(1)
    };
    let mut fleet = CoreFleet::start(terms, CALM);
    // The limit is 100 requests a second: first it suffices, then it does not.
    for (demand, least) in [(20_000, 200), (150_000, 700)] {
        fleet.peers[2].demand = demand;
        fleet.run(secs(60));
        let busy = fleet.peers[2].parts["t0"];
        assert!(
            busy >= least && parts(&fleet) >= 900,
            "busy {busy}, sum {}",
            parts(&fleet)
        );
    }
}

#[test]
fn a_node_that_starts_has_its_share_at_once() {
    let mut fleet = CoreFleet::start(
        FleetTerms {
            cells: vec![9],
            ..terms(1)
        },
        CALM,
    );
    fleet.peers.iter_mut().for_each(|p| p.demand = 5_000);
    fleet.run(secs(60));
    let n = fleet.add(0);
    fleet.run(secs(2));
    let part = fleet.peers[n].parts["t0"];
    // Its share of the demand is 50 of 1000 once the balancer sends it some.
    assert!(part >= 50, "{part}");
    assert!(parts(&fleet) <= 1000 + OVERSHOOT_MILLI, "{}", parts(&fleet));
}

#[test]
fn the_part_of_a_node_that_is_gone_is_used_again_once_the_platform_says_so() {
    let mut fleet = CoreFleet::start(
        FleetTerms {
            cells: vec![9],
            ..terms(1)
        },
        CALM,
    );
    fleet.peers.iter_mut().for_each(|p| p.demand = 20_000);
    fleet.run(secs(60));
    fleet.peers[4].up = false;
    fleet.run(secs(90));
    let listed = parts(&fleet);
    fleet.struck_off.insert(4);
    fleet.run(secs(60));
    let gone = parts(&fleet);
    assert!(
        listed <= 900 && gone >= 950,
        "{listed} while it is listed, {gone} after"
    );
    assert!(gone <= 1000 + OVERSHOOT_MILLI);
}
