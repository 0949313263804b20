//! What a node shows of itself to operators.

use std::time::Duration;

use control::Core;
use schema::messages::MemberState;
use serde_json::{json, Value};

use crate::shared::Shared;

/// What the control thread shows.
pub fn control_status(core: &Core, now: Duration) -> Value {
    let status = core.status(now);
    let ago = |at: Duration| now.saturating_sub(at).as_secs();
    let members: Vec<Value> = status
        .members
        .iter()
        .map(|(name, state, address)| {
            json!({ "name": name, "state": state_name(*state), "address": address })
        })
        .collect();
    let versions: Vec<Value> = status
        .peer_versions
        .iter()
        .map(
            |(name, version, at)| json!({ "node": name, "version": version, "for_secs": ago(*at) }),
        )
        .collect();
    json!({
        "members": members,
        "other_cells": status.other_cells,
        "version": status.version.map(|(v, at)| json!({ "number": v.number, "for_secs": ago(at) })),
        "versions": versions,
        "lease": status.lease.map(|(holder, epoch)| json!({ "holder": holder, "epoch": epoch })),
        "orders_allowed": core.order_window(now).is_some(),
    })
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::ALIVE => "alive",
        MemberState::SUSPECT => "suspect",
        MemberState::LEAVING => "leaving",
        MemberState::GONE => "gone",
        _ => "dead",
    }
}

/// Everything that `croftpond status` shows.
pub fn status(shared: &Shared) -> Value {
    let snapshot = shared.snapshot.load();
    let now = shared.now();
    let traffic = shared.traffic();
    let states = traffic.router.states().iter();
    let endpoints: Vec<Value> = states
        .map(|s| {
            json!({
                "name": s.spec.name,
                "pool": s.spec.pool,
                "hall": s.spec.hall,
                "load": s.load(),
                "slots": s.spec.slots,
                "leaving": s.leaving_at.is_some(),
                "usable": s.is_usable(now),
            })
        })
        .collect();
    let in_flight = traffic.in_flight();
    let cached_blocks = traffic.router.cached_blocks();
    drop(traffic);
    json!({
        "node": shared.settings.name,
        "hall": shared.settings.hall,
        "peer_address": shared.peer_address(),
        "ready": shared.is_ready(),
        "stopping": shared.is_stopping(),
        "config_version": snapshot.version.number,
        "in_flight": in_flight,
        "cached_blocks_believed": cached_blocks,
        "endpoints": endpoints,
        "counters": shared.metrics.counters_by_name(),
        "control": shared.control_status(),
    })
}
