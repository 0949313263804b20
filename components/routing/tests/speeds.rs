//! Endpoints of one service that read prompts at different speeds.

mod common;

use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{Balancer, HealthSignal, Placement, PromptPart, Versions, Work};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("z");
    common::configure(&mut balancer, 16);
    for id in ids {
        let endpoint = Endpoint {
            born_ms: None,
            id: id.to_string(),
            service: "s".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".into(),
            slots: 16,
            state: EndpointState::Ready,
            reclaimable: false,
            cold: Duration::ZERO,
            version: "v1".into(),
        };
        balancer.insert(ms(0), endpoint);
    }
    balancer
}

fn prompt(own: u64, tokens: u32) -> Work {
    Work {
        service: "s".into(),
        parts: vec![PromptPart { id: own, tokens }],
        prompt_tokens: tokens,
        answer_tokens: 50,
        body_bytes: 0,
    }
}

fn choose(balancer: &mut Balancer, at: Duration, work: &Work, exclude: &[String]) -> Placement {
    let mut rng = ChaCha8Rng::seed_from_u64(at.as_millis() as u64);
    let placed = balancer.choose(at, work, exclude, Versions::Any, &mut rng);
    placed.expect("an endpoint is ready")
}

/// Sends a prompt to an idle endpoint that reads `rate` tokens per millisecond.
fn run_prompt(balancer: &mut Balancer, at: Duration, tokens: u32, rate: u32, exclude: &str) {
    let work = prompt(1_000_000 + at.as_millis() as u64, tokens);
    let placed = choose(balancer, at, &work, &[exclude.to_string()]);
    let mut ticket = balancer.sent(at, &work, &placed);
    let first = at + ms(5 + u64::from(tokens / rate));
    balancer.first_token(first, &mut ticket);
    balancer.ended(first + ms(50), &ticket, HealthSignal::Healthy);
}

#[test]
fn a_faster_endpoint_gets_more_prompts() {
    let mut balancer = balancer(&["slow", "fast"]);
    for round in 0..60 {
        let at = ms(round * 2000);
        run_prompt(&mut balancer, at, 6_000, 100, "fast");
        run_prompt(&mut balancer, at + ms(1000), 6_000, 130, "slow");
    }
    let mut fast = 0;
    for i in 0..100 {
        let at = ms(1_000_000 + i * 1000);
        let placed = choose(&mut balancer, at, &prompt(i + 1, 6_000), &[]);
        fast += usize::from(placed.endpoint == "fast");
    }
    assert_eq!(fast, 100, "nothing waits anywhere");
}

#[test]
fn an_endpoint_measured_once_at_the_initial_rate_does_not_stay_slow() {
    let mut balancer = balancer(&["once", "often"]);
    run_prompt(&mut balancer, ms(0), 6_000, 100, "often");
    for round in 1..60 {
        run_prompt(&mut balancer, ms(round * 1000), 6_000, 100, "once");
    }
    let mut expected_ms = |exclude: &str| {
        let placed = choose(
            &mut balancer,
            ms(100_000),
            &prompt(1, 6_000),
            &[exclude.into()],
        );
        placed.expected_ms
    };
    let (once, often) = (expected_ms("often"), expected_ms("once"));
    assert!(once < often * 1.2, "{once} {often}");
}
