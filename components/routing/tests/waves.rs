//! Two regions whose busy times alternate, each with a coordinator that hears of the other's requests late.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{endpoint_hash, Balancer, PeerDispatch, PromptPart, Versions, Work};
use topology::Topology;

/// Age of what one region hears of the other's requests: the way and a pause between messages.
const AGE: Duration = Duration::from_millis(130);
/// Time after which the other region is the busy one.
const WAVE_MS: u64 = 4000;
/// Tokens of each prompt; at the first guess of the rate an endpoint reads 10 a second.
const TOKENS: u32 = 3000;
const ENDPOINTS: usize = 6;
/// Milliseconds between two requests of a region: 90 a second for its 6 endpoints, or 15.
const BUSY_PAUSE_MS: u64 = 11;
const QUIET_PAUSE_MS: u64 = 66;

struct Region {
    name: &'static str,
    balancer: Balancer,
    // What the other one sent and this one has not heard yet.
    unheard: Vec<PeerDispatch>,
    left: usize,
    asked: usize,
}

impl Region {
    fn new(name: &'static str) -> Self {
        let regions = ["a", "b"].map(|region| (format!("{region}1"), region.to_string()));
        let topology = Topology::new(&format!("{name}1"), name, &BTreeMap::from(regions));
        let mut balancer = Balancer::with_topology(topology);
        common::configure(&mut balancer, 64);
        for (region, i) in (0..ENDPOINTS).flat_map(|i| [("a", i), ("b", i)]) {
            let endpoint = Endpoint {
                born_ms: None,
                id: format!("{region}-{i}"),
                service: "s".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: format!("{region}1"),
                slots: 64,
                state: EndpointState::Ready,
                reclaimable: false,
                cold: Duration::ZERO,
                version: "v1".into(),
            };
            balancer.insert(Duration::ZERO, endpoint);
        }
        Region {
            name,
            balancer,
            unheard: Vec::new(),
            left: 0,
            asked: 0,
        }
    }

    fn hear(&mut self, now: Duration) {
        let (heard, unheard) = self
            .unheard
            .drain(..)
            .partition(|dispatch| now >= dispatch.sent_at + AGE);
        self.unheard = unheard;
        let heard: Vec<PeerDispatch> = heard;
        for dispatch in heard {
            self.balancer.peer_sent(now, dispatch);
        }
    }

    fn place(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> PeerDispatch {
        self.asked += 1;
        let own = now.as_micros() as u64 + u64::from(self.name.as_bytes()[0]);
        let work = Work {
            service: "s".into(),
            parts: vec![PromptPart {
                id: own,
                tokens: TOKENS,
            }],
            prompt_tokens: TOKENS,
            answer_tokens: 20,
            body_bytes: 6_000,
        };
        let placed = self.balancer.choose(now, &work, &[], Versions::Any, rng);
        let placed = placed.expect("all endpoints take work");
        self.balancer.placed_for_peer(now, &work, &placed);
        self.left += usize::from(!placed.endpoint.starts_with(self.name));
        PeerDispatch {
            endpoint: endpoint_hash(&placed.endpoint),
            unread_tokens: placed.unread_tokens,
            shared_prompt: 0,
            sent_at: now,
            hold: placed.hold,
        }
    }
}

#[test]
fn a_busy_region_borrows_from_a_quiet_one_and_nothing_comes_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut regions = [Region::new("a"), Region::new("b")];
    // Asked and left, by wave and by whether the region was the busy one.
    let mut counts = Vec::new();
    for wave in 0..6u64 {
        let busy = (wave % 2) as usize;
        for at in 0..WAVE_MS {
            let now = Duration::from_millis(wave * WAVE_MS + at);
            for i in 0..2 {
                let pause = if i == busy {
                    BUSY_PAUSE_MS
                } else {
                    QUIET_PAUSE_MS
                };
                regions[i].hear(now);
                if at % pause == 0 {
                    let sent = regions[i].place(now, &mut rng);
                    regions[1 - i].unheard.push(sent);
                }
            }
        }
        let count = |region: &mut Region| {
            let count = (region.asked, region.left);
            (region.asked, region.left) = (0, 0);
            count
        };
        let quiet = count(&mut regions[1 - busy]);
        counts.push((count(&mut regions[busy]), quiet));
    }
    for (wave, (busy, quiet)) in counts.iter().enumerate() {
        // A third of what a busy region is asked is beyond what its endpoints read.
        assert!(busy.1 * 4 > busy.0, "wave {wave}: {counts:?}");
        assert!(busy.1 * 3 < busy.0 * 2, "wave {wave}: {counts:?}");
        // What was queued at the end of its own busy time may still leave.
        assert!(quiet.1 * 10 <= quiet.0, "wave {wave}: {counts:?}");
    }
}
