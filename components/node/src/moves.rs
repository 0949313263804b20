//! The reclaim plan of this node's streams, made for a whole wave at once.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::{plan_moves, MoveRates, Stream, Target};
use routing::EndpointState;

use crate::attempt::RunEvent;
use crate::traffic::{Live, Traffic};

/// Plans the streams that run on endpoints that leave, and tells their threads.
pub fn plan_wave(now: Duration, traffic: &Traffic, leaving: &BTreeMap<String, Duration>) {
    let hit = |l: &&Live| l.streams && leaving.contains_key(&l.endpoint);
    let mut pools: BTreeMap<&str, Vec<Stream>> = BTreeMap::new();
    for (id, live) in traffic.live.iter().filter(|(_, l)| hit(l)) {
        pools
            .entry(&live.pool)
            .or_default()
            .push(stream_of(*id, live));
    }
    for (pool, streams) in pools {
        let targets = targets(now, traffic, pool);
        let plan = plan_moves(now, &streams, leaving, &targets, MoveRates::default());
        for (id, planned) in plan {
            if let Some(live) = traffic.live.get(&id) {
                let event = RunEvent::Leaving {
                    attempt: live.attempt,
                    plan: planned,
                };
                let _ = live.events.send(event);
            }
        }
    }
}

fn stream_of(id: u64, live: &Live) -> Stream {
    let given = live.given.load(Ordering::Relaxed);
    Stream {
        id,
        endpoint: live.endpoint.clone(),
        priority: live.priority,
        deadline: live.deadline,
        context_tokens: live.prompt_tokens + given,
        left_tokens: live.max_tokens.saturating_sub(given),
        repeatable: live.repeatable,
    }
}

fn targets(now: Duration, traffic: &Traffic, pool: &str) -> Vec<Target> {
    let states = traffic.router.states();
    let gone: Vec<&EndpointState> = states.iter().filter(|s| s.leaving_at.is_some()).collect();
    let same_wave = |s: &EndpointState| {
        let beside = |g: &&EndpointState| g.spec.hall == s.spec.hall;
        s.is_reclaimable() && gone.iter().any(beside)
    };
    let usable = states
        .iter()
        .filter(|s| s.spec.pool == pool && s.is_usable(now));
    usable
        .map(|s| Target {
            endpoint: s.spec.name.clone(),
            free_slots: (s.spec.slots.max(0) as u32).saturating_sub(s.load()),
            same_wave: same_wave(s),
        })
        .collect()
}
