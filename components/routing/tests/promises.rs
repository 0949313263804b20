//! Properties of routing that hold under random readings and requests.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck, Testable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Prompt, Reading, Router, RoutingRequest};
use schema::settings::{Endpoint, PriceClass, Priority};

const SEED: u64 = 20261202;
const ENDPOINTS: u32 = 6;

fn check<A: Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(1000)
        .quickcheck(property);
}

fn endpoint(number: u32, price_milli: i64) -> Endpoint {
    Endpoint {
        name: format!("w{number}"),
        pool: "chat".into(),
        address: format!("127.0.0.1:{}", 9000 + number),
        hall: format!("h{}", number % 3),
        price_class: PriceClass::RECLAIMABLE,
        price_milli,
        slots: 4,
    }
}

fn router() -> Router {
    let mut router = Router::default();
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|n| endpoint(n, 1000)).collect();
    router.configure(&endpoints);
    router
}

fn request<'a>(prompt: &'a Prompt, exclude: &'a [String]) -> RoutingRequest<'a> {
    RoutingRequest {
        pool: "chat",
        prompt,
        priority: Priority::STANDARD,
        target: Duration::from_millis(520),
        latency_weight: 50,
        exclude,
    }
}

fn conversation(id: u64) -> Prompt {
    Prompt::of_messages(&["system ".repeat(200), format!("hello {id} ").repeat(100)])
}

#[test]
fn a_leaving_endpoint_is_never_chosen_whatever_is_recorded_later() {
    fn property(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut router = router();
        let leaving = format!("w{}", rng.random_range(0..ENDPOINTS));
        router.leave(&leaving, Duration::from_secs(30));
        (0..60).all(|step| {
            let now = Duration::from_millis(step * 100);
            let reading = Reading {
                running: 0,
                queued: 0,
                at: now,
            };
            router.record_reading(&leaving, reading);
            router.answered(&leaving);
            router.leave(&leaving, Duration::from_secs(90));
            let prompt = conversation(rng.random_range(0..9));
            let request = request(&prompt, &[]);
            let chosen = router
                .choose(now, &request, &mut rng)
                .unwrap()
                .chosen
                .endpoint;
            router.sent(&chosen, &request);
            chosen != leaving
        })
    }
    check(property as fn(u64) -> bool);
}

#[test]
fn an_excluded_endpoint_is_not_chosen() {
    fn property(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let router = router();
        let exclude: Vec<String> = (0..ENDPOINTS - 1).map(|n| format!("w{n}")).collect();
        let prompt = conversation(seed);
        let decision = router
            .choose(Duration::ZERO, &request(&prompt, &exclude), &mut rng)
            .unwrap();
        decision.chosen.endpoint == "w5" && decision.passed_over == ENDPOINTS - 1
    }
    check(property as fn(u64) -> bool);
}

#[test]
fn no_endpoint_is_chosen_when_all_are_leaving() {
    let mut router = router();
    (0..ENDPOINTS).for_each(|n| router.leave(&format!("w{n}"), Duration::ZERO));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(
        router.choose(Duration::ZERO, &request(&conversation(1), &[]), &mut rng),
        None
    );
}

#[test]
fn different_nodes_send_a_conversation_to_the_same_endpoint() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (first, second) = (router(), router());
    let mut same = 0;
    for id in 0..200 {
        let opening = ["system ".repeat(200), format!("hello {id} ").repeat(100)];
        let mut later = opening.to_vec();
        later.extend(["answer ".repeat(100), "and then ".repeat(9)]);
        let later = Prompt::of_messages(&later);
        let a = first
            .choose(Duration::ZERO, &request(&later, &[]), &mut rng)
            .unwrap();
        let b = second
            .choose(Duration::ZERO, &request(&later, &[]), &mut rng)
            .unwrap();
        same += usize::from(a.chosen.endpoint == b.chosen.endpoint);
    }
    assert_eq!(same, 200);
}

#[test]
fn a_conversation_leaves_an_overloaded_home_endpoint() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = router();
    let prompt = conversation(7);
    let home = router
        .choose(Duration::ZERO, &request(&prompt, &[]), &mut rng)
        .unwrap()
        .chosen
        .endpoint;
    router.sent(&home, &request(&prompt, &[]));
    router.record_reading(
        &home,
        Reading {
            running: 4,
            queued: 9,
            at: Duration::ZERO,
        },
    );
    let next = router
        .choose(Duration::ZERO, &request(&prompt, &[]), &mut rng)
        .unwrap();
    assert_ne!(next.chosen.endpoint, home);
}

#[test]
fn a_low_latency_weight_prefers_the_cheaper_endpoint() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::default();
    router.configure(&[endpoint(0, 3000), endpoint(1, 1000)]);
    let prompt = conversation(3);
    let cheap = RoutingRequest {
        latency_weight: 0,
        ..request(&prompt, &[])
    };
    let chosen = router
        .choose(Duration::ZERO, &cheap, &mut rng)
        .unwrap()
        .chosen
        .endpoint;
    assert_eq!(chosen, "w1");
}

#[test]
fn a_failed_endpoint_is_skipped_and_tried_again() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::default();
    router.configure(&[endpoint(0, 1000)]);
    let prompt = conversation(3);
    router.failed(Duration::ZERO, "w0");
    assert!(router
        .choose(Duration::from_millis(100), &request(&prompt, &[]), &mut rng)
        .is_none());
    assert!(router
        .choose(Duration::from_millis(300), &request(&prompt, &[]), &mut rng)
        .is_some());
}
