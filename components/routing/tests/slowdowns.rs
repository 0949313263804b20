//! Endpoints whose machines are shared: how long work takes there changes from moment to moment, and they tell it.

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

fn choose(balancer: &mut Balancer, at: Duration, work: &Work, not: &[&str]) -> Placement {
    let mut rng = ChaCha8Rng::seed_from_u64(at.as_millis() as u64);
    let not: Vec<String> = not.iter().map(|id| id.to_string()).collect();
    let placed = balancer.choose(at, work, &not, Versions::Any, &mut rng);
    placed.expect("an endpoint is ready")
}

fn told(id: &str, at: Duration, percent: u32) -> Sight {
    Sight {
        endpoint: endpoint_hash(id),
        at,
        requests: None,
        slowdown: Slowdown::from_percent(percent),
    }
}

/// How often each endpoint would get one of a hundred long prompts, all at the same moment.
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
fn a_long_prompt_goes_past_an_endpoint_that_is_slow_now() {
    let mut balancer = balancer(&["e1", "e2"]);
    assert!(balancer.observe(told("e1", ms(100), 250)));
    assert!(!balancer.observe(told("e2", ms(100), 100)));
    assert_eq!(shares(&mut balancer, ms(110)), (0, 100));
}

#[test]
fn a_slow_moment_long_ago_says_nothing_any_more() {
    let mut balancer = balancer(&["e1", "e2"]);
    for at in (0..5_000).step_by(50) {
        balancer.observe(told("e1", ms(at), 100));
        balancer.observe(told("e2", ms(at), 100));
    }
    balancer.observe(told("e1", ms(5_000), 250));
    let mut expected = |at: u64, not: &str| {
        let placed = choose(&mut balancer, ms(at), &prompt(1, LONG_PROMPT), &[not]);
        placed.slowdown.factor()
    };
    assert!(expected(5_010, "e2") > 1.8);
    let (first, second) = (expected(20_000, "e2"), expected(20_000, "e1"));
    assert!((first / second - 1.0).abs() < 0.05, "{first} {second}");
}

#[test]
fn an_endpoint_that_is_always_slow_is_known_to_be_long_after_it_told() {
    let mut balancer = balancer(&["e1", "e2"]);
    for at in (0..2_000).step_by(50) {
        balancer.observe(told("e1", ms(at), 170));
        balancer.observe(told("e2", ms(at), 70));
    }
    let later = ms(60_000);
    let slow = choose(&mut balancer, later, &prompt(1, LONG_PROMPT), &["e2"]);
    let fast = choose(&mut balancer, later, &prompt(1, LONG_PROMPT), &["e1"]);
    assert!(slow.expected_ms > 2.0 * fast.expected_ms);
    // What runs there holds its slot for longer too.
    assert!(slow.hold.as_secs_f64() > 2.0 * fast.hold.as_secs_f64());
}

/// Endpoints of which each is slow for a while and well for a while, told every 50 ms.
fn swinging(balancer: &mut Balancer, slow_for: u64, well_for: u64) -> Duration {
    let cycle = slow_for + well_for;
    let end = 60_000;
    for at in (0..end).step_by(50) {
        for (i, id) in ["e1", "e2"].iter().enumerate() {
            let within = (at + i as u64 * cycle / 2) % cycle;
            let percent = if within < slow_for { 250 } else { 100 };
            balancer.observe(told(id, ms(at), percent));
        }
    }
    ms(end)
}

#[test]
fn how_long_word_is_worth_something_is_learnt_from_how_long_it_was() {
    let mut steady = balancer(&["e1", "e2"]);
    let end = swinging(&mut steady, 4_000, 4_000);
    let mut restless = balancer(&["e1", "e2"]);
    swinging(&mut restless, 100, 100);
    let expected = |balancer: &mut Balancer| {
        balancer.observe(told("e1", end, 250));
        let placed = choose(balancer, end + ms(400), &prompt(1, LONG_PROMPT), &["e2"]);
        placed.slowdown.factor()
    };
    let (steady, restless) = (expected(&mut steady), expected(&mut restless));
    assert!(steady > 2.2, "{steady}");
    assert!(restless < 1.9, "{restless}");
}

/// Sends a prompt to an endpoint that tells how long work takes there, and reads at 100 tokens a millisecond else.
fn read(balancer: &mut Balancer, at: Duration, id: &str, not: &str, percent: u64) {
    balancer.observe(told(id, at, percent as u32));
    let work = prompt(at.as_millis() as u64 * 10 + percent, LONG_PROMPT);
    let placed = choose(balancer, at, &work, &[not]);
    let mut ticket = balancer.sent(at, &work, &placed);
    let first = at + ms(u64::from(LONG_PROMPT) / 100 * percent / 100);
    balancer.observe(told(id, first, percent as u32));
    balancer.first_token(first, &mut ticket);
    balancer.ended(first + ms(50), &ticket, HealthSignal::Healthy);
}

#[test]
fn slow_moments_do_not_slow_down_what_is_known_of_the_reading_rate() {
    let expected = |slow_rounds: u64| {
        let mut balancer = balancer(&["e1", "e2"]);
        for round in 0..60 {
            let percent = if round % 4 < slow_rounds { 250 } else { 100 };
            read(&mut balancer, ms(round * 1000), "e1", "e2", percent);
            read(&mut balancer, ms(round * 1000 + 500), "e2", "e1", 100);
        }
        let later = ms(100_000);
        balancer.observe(told("e2", later, 100));
        choose(&mut balancer, later, &prompt(1, LONG_PROMPT), &["e1"]).expected_ms
    };
    let (without, with) = (expected(0), expected(2));
    assert!((with / without - 1.0).abs() < 0.15, "{with} {without}");
}

#[test]
fn the_law_of_an_engine_is_learnt_with_its_slow_moments_taken_out() {
    let mut balancer = balancer(&["e1"]);
    for round in 0..400_u64 {
        let start = ms(round * 1000);
        let percent = if round % 2 == 0 { 100 } else { 250 };
        let work = prompt(round + 1, 10);
        let placed = choose(&mut balancer, start, &work, &[]);
        let mut ticket = balancer.sent(start, &work, &placed);
        for event in 0..50 {
            let at = start + ms(event * 4 * percent / 100);
            balancer.observe(told("e1", at, percent as u32));
            balancer.event(at, &mut ticket);
        }
        balancer.ended(start + ms(900), &ticket, HealthSignal::Healthy);
    }
    let steps = balancer.learnt("s").steps;
    let mean = steps.mean_step_ms();
    let variance = steps.step_step / steps.count - mean * mean;
    // Well and slow moments say the same; as they were, their deviation is 0.43 of the mean.
    assert!(variance.sqrt() < 0.15 * mean, "{} {mean}", variance.sqrt());
    // Whoever plans with the law counts on both: 4 ms and 10 ms, half of the time each.
    assert!((mean - 7.0).abs() < 1.0, "{mean}");
}

#[test]
fn endpoints_that_tell_nothing_are_taken_as_usual() {
    let mut balancer = balancer(&["e1", "e2"]);
    let placed = choose(&mut balancer, ms(10), &prompt(1, LONG_PROMPT), &[]);
    assert_eq!(placed.slowdown, Slowdown::NONE);
    assert!(!balancer.observe(told("unknown", ms(10), 250)));
}

#[test]
fn later_word_is_not_undone_by_earlier_word_that_comes_after_it() {
    let mut balancer = balancer(&["e1"]);
    balancer.observe(told("e1", ms(100), 100));
    balancer.observe(told("e1", ms(50), 250));
    let placed = choose(&mut balancer, ms(101), &prompt(1, LONG_PROMPT), &[]);
    assert_eq!(placed.slowdown.percent(), 100);
}

#[test]
fn what_the_start_before_told_says_nothing_of_the_next_one() {
    let mut balancer = balancer(&["e1"]);
    let again = Endpoint {
        born_ms: Some(5),
        ..record("s", "e1")
    };
    balancer.insert(ms(10), again);
    assert!(!balancer.observe(told("e1", ms(20), 250)));
    let placed = choose(&mut balancer, ms(21), &prompt(1, LONG_PROMPT), &[]);
    assert_eq!(placed.slowdown, Slowdown::NONE);
}

#[test]
fn a_plain_request_goes_past_an_endpoint_that_is_slow_now() {
    let mut balancer = balancer(&[]);
    for id in ["p1", "p2"] {
        balancer.insert(ms(0), record("plain", id));
    }
    let work = Work {
        service: "plain".into(),
        ..Work::default()
    };
    balancer.observe(told("p1", ms(100), 250));
    balancer.observe(told("p2", ms(100), 100));
    let chosen = (0..20).map(|i| choose(&mut balancer, ms(100 + i), &work, &[]).endpoint);
    assert!(chosen.into_iter().all(|id| id == "p2"));
}

#[test]
fn a_figure_that_cannot_be_one_is_none() {
    let figures = [0, 9, 10, 100, 5_000, 5_001];
    let taken = figures.map(|percent| Slowdown::from_percent(percent).is_some());
    assert_eq!(taken, [false, false, true, true, true, false]);
}
