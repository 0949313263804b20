//! The reclaim plan of this node's streams, made for a whole wave at once.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::{delay_before_moves, plan_moves, MoveRates, Stream, Target};
use routing::EndpointState;

use crate::attempt::RunEvent;
use crate::traffic::{Live, Traffic};

/// Leaving endpoints whose streams are to be moved, and when.
#[derive(Debug, Default)]
pub struct Waves {
    due: BTreeMap<String, Duration>,
}

impl Waves {
    /// Takes an endpoint that leaves after `left`. Its streams run on as long as they can.
    pub fn add(&mut self, now: Duration, traffic: &Traffic, endpoint: &str, left: Duration) {
        let streams: Vec<Stream> = streams_on(traffic, endpoint).map(|(_, s)| s).collect();
        let wait = delay_before_moves(&streams, left, MoveRates::default());
        self.due.insert(endpoint.to_string(), now + wait);
    }

    /// Plans the streams of all endpoints that are due, and reports their threads.
    pub fn plan_due(&mut self, now: Duration, traffic: &Traffic) {
        let due: Vec<String> = self
            .due
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        let mut left = BTreeMap::new();
        for name in due {
            self.due.remove(&name);
            let gone_at = traffic.router.state(&name).and_then(|s| s.leaving_at);
            left.insert(name, gone_at.unwrap_or(now).saturating_sub(now));
        }
        if !left.is_empty() {
            plan_wave(now, traffic, &left);
        }
    }
}

fn streams_on<'a>(
    traffic: &'a Traffic,
    endpoint: &'a str,
) -> impl Iterator<Item = (&'a Live, Stream)> {
    let there = traffic
        .live
        .iter()
        .filter(move |(_, l)| l.streams && l.endpoint == endpoint);
    there.map(|(id, live)| (live, stream_of(*id, live)))
}

fn plan_wave(now: Duration, traffic: &Traffic, leaving: &BTreeMap<String, Duration>) {
    let mut pools: BTreeMap<&str, Vec<Stream>> = BTreeMap::new();
    for (live, stream) in leaving.keys().flat_map(|name| streams_on(traffic, name)) {
        pools.entry(&live.pool).or_default().push(stream);
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
        remaining_tokens: live.max_tokens.saturating_sub(given),
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
