//! Time that a table of endpoints takes: to fill it, to remove half of it, and to choose from it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use directory::{Configuration, Endpoint, EndpointState, Engine, Service};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{Balancer, PromptPart, Versions, Work};

const NOW: Duration = Duration::from_secs(10);
const SERVICE: &str = "s";
const HALLS: usize = 6;
const SIZES: [usize; 7] = [100, 1_000, 2_500, 5_000, 9_998, 14_142, 20_000];
/// Requests of which the mean time of a decision is taken.
const DECISIONS: u32 = 500;

/// measure what a table of endpoints costs by its size
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
pub struct Table {
    /// number of measurements of each size, of which the fastest counts
    #[argh(option, default = "5")]
    repeats: u32,
}

/// Runs the command.
pub fn run(args: &Table) {
    println!(
        "{:>9} {:>14} {:>14} {:>14}",
        "endpoints", "insert all ms", "drop half ms", "decision us"
    );
    for size in SIZES {
        let measured = (0..args.repeats.max(1)).map(|_| measure(size));
        let fastest = measured.reduce(Times::min).unwrap_or_default();
        println!(
            "{size:>9} {:>14.2} {:>14.2} {:>14.1}",
            fastest.insert.as_secs_f64() * 1e3,
            fastest.drop.as_secs_f64() * 1e3,
            fastest.decision.as_secs_f64() * 1e6
        );
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Times {
    insert: Duration,
    drop: Duration,
    decision: Duration,
}

impl Times {
    fn min(self, other: Times) -> Times {
        Times {
            insert: self.insert.min(other.insert),
            drop: self.drop.min(other.drop),
            decision: self.decision.min(other.decision),
        }
    }
}

fn measure(size: usize) -> Times {
    let endpoints: Vec<Endpoint> = (0..size).map(endpoint).collect();
    let gone: Vec<String> = endpoints.iter().step_by(2).map(|e| e.id.clone()).collect();
    let mut balancer = configured();
    let began = Instant::now();
    for endpoint in endpoints {
        balancer.insert(NOW, endpoint);
    }
    let insert = began.elapsed();
    let decision = decision_time(&mut balancer);
    let began = Instant::now();
    for id in &gone {
        balancer.remove(id);
    }
    Times {
        insert,
        drop: began.elapsed(),
        decision,
    }
}

fn configured() -> Balancer {
    let engine = Engine {
        slots: 12,
        cache_tokens: 363_684,
        tokens_per_event: 13,
    };
    let service = Service {
        max_connections: 1900,
        engine: Some(engine),
        scaling: None,
    };
    let mut balancer = Balancer::new("hall-0");
    balancer.configure(&Configuration {
        services: [(SERVICE.to_string(), service)].into(),
        ..Configuration::default()
    });
    balancer
}

fn endpoint(number: usize) -> Endpoint {
    let address = [10, (number >> 16) as u8, (number >> 8) as u8, number as u8];
    Endpoint {
        id: format!("i-{number:010x}"),
        born_ms: Some(1),
        service: SERVICE.into(),
        address: SocketAddr::from((address, 8601)),
        zone: format!("hall-{}", number % HALLS),
        slots: 12,
        state: EndpointState::Ready,
        reclaimable: true,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

fn work(number: u32) -> Work {
    let part = |id, tokens| PromptPart { id, tokens };
    Work {
        service: SERVICE.into(),
        parts: vec![
            part(u64::from(number % 32), 341),
            part(u64::from(number), 1459),
        ],
        prompt_tokens: 1800,
        answer_tokens: 26,
        body_bytes: 2400,
    }
}

// Mean time of a decision, with what it records.
fn decision_time(balancer: &mut Balancer) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let began = Instant::now();
    for number in 0..DECISIONS {
        let now = NOW + Duration::from_millis(u64::from(number));
        let work = work(number);
        if let Some(placement) = balancer.choose(now, &work, &[], Versions::Any, &mut rng) {
            balancer.placed_for_peer(now, &work, &placement);
        }
    }
    began.elapsed() / DECISIONS
}
