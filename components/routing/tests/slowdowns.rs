//! Endpoints on shared machines, which report how long work takes there at the moment.

mod common;

use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{
    endpoint_hash, Balancer, HealthSignal, Placement, PromptPart, Sight, Slowdown, Versions, Work,
};

const LONG_PROMPT: u32 = 6_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(service: &str, id: &str) -> Endpoint {
    Endpoint {
        born_ms: None,
        id: id.to_string(),
        service: service.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 16,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("z");
    common::configure(&mut balancer, 16);
    for id in ids {
        balancer.insert(ms(0), record("s", id));
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

fn choose(balancer: &mut Balancer, at: Duration, work: &Work, exclude: &[&str]) -> Placement {
    let mut rng = ChaCha8Rng::seed_from_u64(at.as_millis() as u64);
    let exclude: Vec<String> = exclude.iter().map(|id| id.to_string()).collect();
    let placed = balancer.choose(at, work, &exclude, Versions::Any, &mut rng);
    placed.expect("an endpoint is ready")
}

fn slowdown_sight(id: &str, at: Duration, percent: u32) -> Sight {
    Sight {
        endpoint: endpoint_hash(id),
        at,
        requests: None,
        slowdown: Slowdown::from_percent(percent),
    }
}

/// Returns how many of a hundred long prompts, all placed at the same moment, go to each endpoint.
fn shares(balancer: &mut Balancer, at: Duration) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut first = 0;
    for i in 0..100 {
        let work = prompt(1_000 + i, LONG_PROMPT);
        let placed = balancer.choose(at, &work, &[], Versions::Any, &mut rng);
        first += usize::from(placed.expect("one is ready").endpoint == "e1");
    }
    (first, 100 - first)
}

#[test]
fn a_long_prompt_avoids_an_endpoint_that_is_slow_now() {
    let mut balancer = balancer(&["e1", "e2"]);
    assert!(balancer.observe(slowdown_sight("e1", ms(100), 250)));
    assert!(!balancer.observe(slowdown_sight("e2", ms(100), 100)));
    assert_eq!(shares(&mut balancer, ms(110)), (0, 100));
}

#[test]
fn an_old_slowdown_report_no_longer_counts() {
    let mut balancer = balancer(&["e1", "e2"]);
    for at in (0..5_000).step_by(50) {
        balancer.observe(slowdown_sight("e1", ms(at), 100));
        balancer.observe(slowdown_sight("e2", ms(at), 100));
    }
    balancer.observe(slowdown_sight("e1", ms(5_000), 250));
    let mut expected = |at: u64, exclude: &str| {
        let placed = choose(&mut balancer, ms(at), &prompt(1, LONG_PROMPT), &[exclude]);
        placed.slowdown.factor()
    };
    assert!(expected(5_010, "e2") > 1.8);
    let (first, second) = (expected(20_000, "e2"), expected(20_000, "e1"));
    assert!((first / second - 1.0).abs() < 0.05, "{first} {second}");
}

#[test]
fn a_permanently_slow_endpoint_is_expected_to_be_slow_long_after_its_last_report() {
    let mut balancer = balancer(&["e1", "e2"]);
    for at in (0..2_000).step_by(50) {
        balancer.observe(slowdown_sight("e1", ms(at), 170));
        balancer.observe(slowdown_sight("e2", ms(at), 70));
    }
    let later = ms(60_000);
    let slow = choose(&mut balancer, later, &prompt(1, LONG_PROMPT), &["e2"]);
    let fast = choose(&mut balancer, later, &prompt(1, LONG_PROMPT), &["e1"]);
    assert!(slow.expected_ms > 2.0 * fast.expected_ms);
    // Requests at a slow endpoint also hold their slots for longer.
    assert!(slow.hold.as_secs_f64() > 2.0 * fast.hold.as_secs_f64());
}

/// Reports every 50 ms that each endpoint is in turn slow for `slow_ms` and normal for `normal_ms`,
/// and returns the end of the reports.
fn report_alternating(balancer: &mut Balancer, slow_ms: u64, normal_ms: u64) -> Duration {
    let cycle_ms = slow_ms + normal_ms;
    let end = 60_000;
    for at in (0..end).step_by(50) {
        for (i, id) in ["e1", "e2"].iter().enumerate() {
            let within = (at + i as u64 * cycle_ms / 2) % cycle_ms;
            let percent = if within < slow_ms { 250 } else { 100 };
            balancer.observe(slowdown_sight(id, ms(at), percent));
        }
    }
    ms(end)
}

#[test]
fn how_long_a_report_counts_is_learnt_from_earlier_reports() {
    let mut steady = balancer(&["e1", "e2"]);
    let end = report_alternating(&mut steady, 4_000, 4_000);
    let mut volatile = balancer(&["e1", "e2"]);
    report_alternating(&mut volatile, 100, 100);
    let expected = |balancer: &mut Balancer| {
        balancer.observe(slowdown_sight("e1", end, 250));
        let placed = choose(balancer, end + ms(400), &prompt(1, LONG_PROMPT), &["e2"]);
        placed.slowdown.factor()
    };
    let (steady, volatile) = (expected(&mut steady), expected(&mut volatile));
    assert!(steady > 2.2, "{steady}");
    assert!(volatile < 1.9, "{volatile}");
}

/// Sends a prompt to an endpoint that reports its slowdown and otherwise reads 100 tokens per
/// millisecond.
fn run_prompt(balancer: &mut Balancer, at: Duration, id: &str, exclude: &str, percent: u64) {
    balancer.observe(slowdown_sight(id, at, percent as u32));
    let work = prompt(at.as_millis() as u64 * 10 + percent, LONG_PROMPT);
    let placed = choose(balancer, at, &work, &[exclude]);
    let mut ticket = balancer.sent(at, &work, &placed);
    let first = at + ms(u64::from(LONG_PROMPT) / 100 * percent / 100);
    balancer.observe(slowdown_sight(id, first, percent as u32));
    balancer.first_token(first, &mut ticket);
    balancer.ended(first + ms(50), &ticket, HealthSignal::Healthy);
}

#[test]
fn slow_periods_do_not_lower_the_measured_reading_rate() {
    let expected = |slow_rounds: u64| {
        let mut balancer = balancer(&["e1", "e2"]);
        for round in 0..60 {
            let percent = if round % 4 < slow_rounds { 250 } else { 100 };
            run_prompt(&mut balancer, ms(round * 1000), "e1", "e2", percent);
            run_prompt(&mut balancer, ms(round * 1000 + 500), "e2", "e1", 100);
        }
        let later = ms(100_000);
        balancer.observe(slowdown_sight("e2", later, 100));
        choose(&mut balancer, later, &prompt(1, LONG_PROMPT), &["e1"]).expected_ms
    };
    let (without, with) = (expected(0), expected(2));
    assert!((with / without - 1.0).abs() < 0.15, "{with} {without}");
}

#[test]
fn samples_of_the_engine_law_are_corrected_for_slow_periods() {
    let mut balancer = balancer(&["e1"]);
    for round in 0..400_u64 {
        let start = ms(round * 1000);
        let percent = if round % 2 == 0 { 100 } else { 250 };
        let work = prompt(round + 1, 10);
        let placed = choose(&mut balancer, start, &work, &[]);
        let mut ticket = balancer.sent(start, &work, &placed);
        for event in 0..50 {
            let at = start + ms(event * 4 * percent / 100);
            balancer.observe(slowdown_sight("e1", at, percent as u32));
            balancer.event(at, &mut ticket);
        }
        balancer.ended(start + ms(900), &ticket, HealthSignal::Healthy);
    }
    let steps = balancer.learnt("s").steps;
    let mean = steps.mean_step_ms();
    let variance = steps.step_step / steps.count - mean * mean;
    // Corrected samples agree in normal and slow periods; without the correction their deviation is
    // 0.43 of the mean.
    assert!(variance.sqrt() < 0.15 * mean, "{} {mean}", variance.sqrt());
    // The law includes both periods, since plans are made with it: 4 ms and 10 ms, half of the time
    // each.
    assert!((mean - 7.0).abs() < 1.0, "{mean}");
}

#[test]
fn endpoints_without_reports_have_no_slowdown() {
    let mut balancer = balancer(&["e1", "e2"]);
    let placed = choose(&mut balancer, ms(10), &prompt(1, LONG_PROMPT), &[]);
    assert_eq!(placed.slowdown, Slowdown::NONE);
    assert!(!balancer.observe(slowdown_sight("unknown", ms(10), 250)));
}

#[test]
fn an_older_report_that_arrives_late_is_ignored() {
    let mut balancer = balancer(&["e1"]);
    balancer.observe(slowdown_sight("e1", ms(100), 100));
    balancer.observe(slowdown_sight("e1", ms(50), 250));
    let placed = choose(&mut balancer, ms(101), &prompt(1, LONG_PROMPT), &[]);
    assert_eq!(placed.slowdown.percent(), 100);
}

#[test]
fn reports_of_the_old_process_are_ignored_after_a_restart() {
    let mut balancer = balancer(&["e1"]);
    let again = Endpoint {
        born_ms: Some(5),
        ..record("s", "e1")
    };
    balancer.insert(ms(10), again);
    assert!(!balancer.observe(slowdown_sight("e1", ms(20), 250)));
    let placed = choose(&mut balancer, ms(21), &prompt(1, LONG_PROMPT), &[]);
    assert_eq!(placed.slowdown, Slowdown::NONE);
}

#[test]
fn a_plain_request_avoids_an_endpoint_that_is_slow_now() {
    let mut balancer = balancer(&[]);
    for id in ["p1", "p2"] {
        balancer.insert(ms(0), record("plain", id));
    }
    let work = Work {
        service: "plain".into(),
        ..Work::default()
    };
    balancer.observe(slowdown_sight("p1", ms(100), 250));
    balancer.observe(slowdown_sight("p2", ms(100), 100));
    let chosen = (0..20).map(|i| choose(&mut balancer, ms(100 + i), &work, &[]).endpoint);
    assert!(chosen.into_iter().all(|id| id == "p2"));
}

#[test]
fn a_percentage_out_of_range_is_rejected() {
    let percents = [0, 9, 10, 100, 5_000, 5_001];
    let accepted = percents.map(|percent| Slowdown::from_percent(percent).is_some());
    assert_eq!(accepted, [false, false, true, true, true, false]);
}
