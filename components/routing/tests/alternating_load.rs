//! Two regions that are busy in turn, each with a coordinator that receives reports of the other's
//! requests with a delay.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{endpoint_hash, Balancer, PeerDispatch, PromptPart, Versions, Work};
use topology::Topology;

/// Delay after which one region receives reports of the other's requests: the network time and the
/// interval between messages.
const REPORT_DELAY: Duration = Duration::from_millis(130);
/// Time after which the other region becomes the busy one.
const PHASE_MS: u64 = 4000;
/// Tokens of each prompt. At the initial reading rate an endpoint reads 10 such prompts per second.
const TOKENS: u32 = 3000;
const ENDPOINTS: usize = 6;
/// Interval between two requests of a region, in milliseconds: 90 per second for the 6 endpoints of
/// a busy region, or 15 for a quiet one.
const BUSY_INTERVAL_MS: u64 = 11;
const QUIET_INTERVAL_MS: u64 = 66;

struct Region {
    name: &'static str,
    balancer: Balancer,
    // Requests of the other region that were not reported to this one yet.
    unreported: Vec<PeerDispatch>,
    sent_away: usize,
    requests: usize,
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
            unreported: Vec::new(),
            sent_away: 0,
            requests: 0,
        }
    }

    fn take_reports(&mut self, now: Duration) {
        let (reported, unreported) = self
            .unreported
            .drain(..)
            .partition(|dispatch| now >= dispatch.sent_at + REPORT_DELAY);
        self.unreported = unreported;
        let reported: Vec<PeerDispatch> = reported;
        for dispatch in reported {
            self.balancer.peer_sent(now, dispatch);
        }
    }

    fn place(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> PeerDispatch {
        self.requests += 1;
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
        self.sent_away += usize::from(!placed.endpoint.starts_with(self.name));
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
fn a_busy_region_sends_requests_to_a_quiet_one_and_gets_none_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut regions = [Region::new("a"), Region::new("b")];
    // Requests and those sent away, by phase and by whether the region was the busy one.
    let mut counts = Vec::new();
    for phase in 0..6u64 {
        let busy = (phase % 2) as usize;
        for at in 0..PHASE_MS {
            let now = Duration::from_millis(phase * PHASE_MS + at);
            for i in 0..2 {
                let interval_ms = if i == busy {
                    BUSY_INTERVAL_MS
                } else {
                    QUIET_INTERVAL_MS
                };
                regions[i].take_reports(now);
                if at % interval_ms == 0 {
                    let sent = regions[i].place(now, &mut rng);
                    regions[1 - i].unreported.push(sent);
                }
            }
        }
        let count = |region: &mut Region| {
            let count = (region.requests, region.sent_away);
            (region.requests, region.sent_away) = (0, 0);
            count
        };
        let quiet = count(&mut regions[1 - busy]);
        counts.push((count(&mut regions[busy]), quiet));
    }
    for (phase, (busy, quiet)) in counts.iter().enumerate() {
        // A third of a busy region's requests exceeds what its endpoints can read.
        assert!(busy.1 * 4 > busy.0, "phase {phase}: {counts:?}");
        assert!(busy.1 * 3 < busy.0 * 2, "phase {phase}: {counts:?}");
        // Prompts queued at the end of its own busy phase may still cause requests to leave.
        assert!(quiet.1 * 10 <= quiet.0, "phase {phase}: {counts:?}");
    }
}
