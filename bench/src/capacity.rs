//! The slopes that docs/CAPACITY.md is worked out from.

use std::time::{Duration, Instant};

use argh::FromArgs;
use fakes::{CoreFleet, FleetTerms, Traffic, CALM};
use membership::Cell;

use crate::loopback::{self, Loopback};
use crate::process::resident_bytes;

const SPEAKER: &str = "speaker";

/// measure what control costs a node, against nodes and workers
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// seconds of each run over loopback
    #[argh(option, default = "15")]
    secs: u64,
}

/// Runs the command.
pub fn run(args: &Capacity) {
    println!(
        "real control states over loopback, one cell, {} s each:",
        args.secs
    );
    loopback::print_head();
    for (nodes, workers) in [(3, 9), (10, 9), (30, 9), (30, 76), (30, 840), (10, 76)] {
        let terms = Loopback {
            nodes,
            workers,
            secs: args.secs,
        };
        loopback::print_row(&terms, &loopback::run(&terms));
    }
    run_fleets();
}

fn run_fleets() {
    println!("\nfleet of control states in virtual time, cells of 30 nodes and 76 workers:");
    println!(
        "{:>6} {:>6} {:>22} {:>22} {:>9} {:>9} {:>8}",
        "cells",
        "nodes",
        "speaker B/s out, in",
        "other B/s out, in",
        "KB a node",
        "us a node",
        "largest"
    );
    // The largest first, so that its memory is not taken over from a run before.
    for cells in [11, 5, 2, 1] {
        print_fleet(cells);
    }
    print_spread();
    print_platform();
    print_faults();
}

fn terms(cells: usize, seed: u64) -> FleetTerms {
    FleetTerms {
        seed,
        cells: vec![30; cells],
        endpoints: 76,
        teams: 5,
    }
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn settled(cells: usize, seed: u64) -> CoreFleet {
    let mut fleet = CoreFleet::start(terms(cells, seed), CALM);
    fleet.publish(1);
    fleet.run(secs(30));
    for peer in &mut fleet.peers {
        peer.demand = 12_400 / 5;
    }
    fleet.run(secs(10));
    fleet
}

fn print_fleet(cells: usize) {
    let before = resident_bytes();
    let mut fleet = settled(cells, 1);
    let nodes = fleet.peers.len();
    let memory = resident_bytes().saturating_sub(before) / nodes as u64 / 1024;
    let started = Instant::now();
    fleet.run(secs(10));
    let cpu_us = started.elapsed().as_secs_f64() * 1e6 / 10.0 / nodes as f64;
    let (speaker, other, largest) = traffic(&mut fleet, 20);
    println!(
        "{cells:>6} {nodes:>6} {:>10} {:>11} {:>10} {:>11} {memory:>9} {cpu_us:>9.0} {largest:>8}",
        speaker.sent_bytes, speaker.taken_bytes, other.sent_bytes, other.taken_bytes
    );
}

// Bytes a second of the busiest speaker and of the mean of the other nodes.
fn traffic(fleet: &mut CoreFleet, time: u64) -> (Traffic, Traffic, u64) {
    fleet.measured = true;
    fleet
        .peers
        .iter_mut()
        .for_each(|p| p.traffic = Traffic::default());
    fleet.run(secs(time));
    fleet.measured = false;
    let speaks = |cell: usize, c: &Cell| c.has_duty(&format!("{SPEAKER} c{cell}"), 2);
    let (mut speaker, mut other, mut others) = (Traffic::default(), Traffic::default(), 0);
    let mut largest = 0;
    for peer in &fleet.peers {
        largest = largest.max(peer.traffic.largest);
        if speaks(peer.cell, peer.core.cell()) {
            if peer.traffic.sent_bytes > speaker.sent_bytes {
                speaker = peer.traffic;
            }
        } else {
            others += 1;
            other.sent_bytes += peer.traffic.sent_bytes;
            other.taken_bytes += peer.traffic.taken_bytes;
        }
    }
    let each = |t: Traffic, n: u64| Traffic {
        sent_bytes: t.sent_bytes / n / time,
        taken_bytes: t.taken_bytes / n / time,
        ..t
    };
    (each(speaker, 1), each(other, others.max(1)), largest)
}

fn print_spread() {
    println!("\ntime for a configuration to be in force on all of 330 nodes, in seconds:");
    for loss in [0.0, 0.1, 0.3] {
        let times: Vec<String> = (1..=3)
            .map(|seed| format!("{:.1}", spread(seed, loss)))
            .collect();
        println!("  loss {:>2.0}%: {}", loss * 100.0, times.join(" "));
    }
}

fn spread(seed: u64, loss: f64) -> f64 {
    let mut fleet = settled(11, seed);
    fleet.wire.loss = loss;
    fleet.publish(2);
    let started = fleet.now;
    while !fleet.all_have(2) && fleet.now < started + secs(60) {
        fleet.step();
    }
    (fleet.now - started).as_secs_f64()
}

fn print_platform() {
    let mut fleet = settled(11, 1);
    fleet.run(secs(30));
    let (table, cloud) = (fleet.table.calls, fleet.cloud_calls);
    fleet.run(secs(60));
    println!(
        "\nplatform calls of 330 nodes for control: table {:.1}/s, cloud {:.1}/s",
        (fleet.table.calls - table) as f64 / 60.0,
        (fleet.cloud_calls - cloud) as f64 / 60.0
    );
}

fn print_faults() {
    println!("\nfaults of 330 nodes, bytes a second of the mean node out and in:");
    let show = |what: &str, fleet: &mut CoreFleet| {
        let (_, other, _) = traffic(fleet, 15);
        println!("  {what}: {} {}", other.sent_bytes, other.taken_bytes);
    };
    let mut fleet = settled(11, 1);
    show("none", &mut fleet);
    let mut fleet = settled(11, 1);
    fleet
        .peers
        .iter_mut()
        .filter(|p| p.cell == 3)
        .for_each(|p| p.up = false);
    show("a data hall gone", &mut fleet);
    let mut fleet = settled(11, 1);
    (0..8).for_each(|n| fleet.peers[n].up = false);
    show("a rack of 8 nodes gone", &mut fleet);
    let mut fleet = settled(11, 1);
    fleet.wire.groups = (0..120).map(|n| (n, 1)).collect();
    show("a region of 4 halls cut off", &mut fleet);
    fleet.run(secs(120));
    fleet.wire.groups.clear();
    show("its return", &mut fleet);
    let mut fleet = settled(11, 1);
    let started = fleet.now;
    fleet.restart(7);
    while !fleet.peers[7].core.is_current() {
        fleet.step();
    }
    println!(
        "  a node replaced: current after {:.2} s",
        (fleet.now - started).as_secs_f64()
    );
}
