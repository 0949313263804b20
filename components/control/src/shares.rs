//! This node's part of each team's limits: the cell's part of the whole times its own of the cell.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::{PeerDemand, QuotaPart};
use schema::messages::TeamDemand;

/// Weight of the newest demand in its running mean, one part in this many.
const MEAN_SAMPLES: u64 = 4;
/// How long the demand of a node that vanished counts towards its cell's: it may run on behind a
/// cut, and the other cells must not take its part.
const KEEP: Duration = Duration::from_secs(600);
/// Time that the demand of a node needs to reach its cell, with a report or two lost.
const RAISE_IN_CELL: Duration = Duration::from_secs(6);
/// Time that the demand of a cell needs to reach all nodes of the others.
const RAISE_OF_CELLS: Duration = Duration::from_secs(12);
const WHOLE_MILLI: u64 = 1000;

/// A team and its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLimit {
    /// Name of the team.
    pub name: String,
    /// Requests a second, fleet-wide, in thousandths.
    pub rate_milli: u64,
}

#[derive(Debug)]
struct Share {
    limit_milli: u64,
    own_milli: u64,
    in_cell: QuotaPart,
    of_cells: QuotaPart,
    // Demand of the cell's other nodes, and when it was heard.
    nodes: BTreeMap<String, (u64, Duration)>,
    reported: u64,
}

/// The parts of all teams.
#[derive(Debug)]
pub struct Shares {
    node: String,
    cell: String,
    shares: BTreeMap<String, Share>,
    round: i64,
}

impl Shares {
    /// No teams yet. Rounds start at the node's incarnation, so that they grow over restarts.
    pub fn new(node: &str, cell: &str, incarnation: i64) -> Self {
        Shares {
            node: node.to_string(),
            cell: cell.to_string(),
            shares: BTreeMap::new(),
            round: incarnation,
        }
    }

    /// Takes the teams of a configuration with their limits.
    pub fn configure(&mut self, now: Duration, teams: &[TeamLimit], (nodes, cells): (u64, u64)) {
        self.shares
            .retain(|name, _| teams.iter().any(|t| t.name == *name));
        for team in teams {
            let share = self
                .shares
                .entry(team.name.clone())
                .or_insert_with(|| Share {
                    limit_milli: team.rate_milli,
                    own_milli: 0,
                    in_cell: QuotaPart::new(now, nodes, RAISE_IN_CELL),
                    of_cells: QuotaPart::new(now, cells, RAISE_OF_CELLS),
                    nodes: BTreeMap::new(),
                    reported: WHOLE_MILLI,
                });
            share.limit_milli = team.rate_milli;
        }
    }

    /// Takes this node's own demand.
    pub fn demand(&mut self, team: &str, rate_milli: u64) {
        if let Some(share) = self.shares.get_mut(team) {
            let mean = (share.own_milli * (MEAN_SAMPLES - 1) + rate_milli) / MEAN_SAMPLES;
            share.own_milli = mean;
        }
    }

    /// Takes the demand of another node of the cell, or of another cell.
    pub fn receive(&mut self, now: Duration, demand: &TeamDemand, of_member: bool) {
        let Some(share) = self.shares.get_mut(&demand.team) else {
            return;
        };
        let heard = PeerDemand {
            round: demand.round.max(0) as u64,
            rate_milli: demand.rate_milli.max(0) as u64,
            heard_at: now,
        };
        if demand.source == self.node || demand.source == self.cell {
            return;
        }
        if of_member {
            share
                .nodes
                .insert(demand.source.clone(), (heard.rate_milli, now));
            share.in_cell.receive(&demand.source, heard);
        } else {
            share.of_cells.receive(&demand.source, heard);
        }
    }

    /// Drops a member that said it leaves, or whose VM is gone: its part is free. `nodes` are left.
    pub fn drop_member(&mut self, now: Duration, name: &str, nodes: u64) {
        for share in self.shares.values_mut() {
            share.nodes.remove(name);
            share.in_cell.remove_peer(name, now, nodes);
        }
    }

    /// What to report: this node's demands, and those of its cell.
    pub fn demands(&mut self, now: Duration) -> (Vec<TeamDemand>, Vec<TeamDemand>) {
        self.round += 1;
        let reported = |team: &String, source: &String, rate: u64, round: i64| TeamDemand {
            team: team.clone(),
            source: source.clone(),
            round,
            rate_milli: rate as i64,
        };
        let (mut own, mut of_cell) = (Vec::new(), Vec::new());
        for (team, share) in &mut self.shares {
            share
                .nodes
                .retain(|_, (_, heard)| now.saturating_sub(*heard) < KEEP);
            let cell: u64 = share.own_milli + share.nodes.values().map(|(r, _)| r).sum::<u64>();
            share.in_cell.set_own_demand(share.own_milli);
            share.of_cells.set_own_demand(cell);
            own.push(reported(team, &self.node, share.own_milli, self.round));
            of_cell.push(reported(team, &self.cell, cell, self.round));
        }
        (own, of_cell)
    }

    /// The parts that changed, in thousandths of the whole.
    pub fn changed(&mut self, now: Duration, (nodes, cells): (u64, u64)) -> Vec<(String, u64)> {
        let mut changed = Vec::new();
        for (team, share) in &mut self.shares {
            let of_cells = share.of_cells.part_milli(now, cells, share.limit_milli);
            let of_cell = share.limit_milli * of_cells / WHOLE_MILLI;
            let in_cell = share.in_cell.part_milli(now, nodes, of_cell);
            let part = of_cells * in_cell / WHOLE_MILLI;
            if part != share.reported {
                share.reported = part;
                changed.push((team.clone(), part));
            }
        }
        changed
    }
}
