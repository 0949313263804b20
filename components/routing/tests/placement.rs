//! Placement of requests by a gateway that also receives the reports of other gateways.

use std::time::Duration;

use directory::{Configuration, Endpoint, EndpointState, Engine, Service};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{
    endpoint_hash, signal_without_answer, Balancer, HealthSignal, PeerDispatch, PromptPart,
    Versions, Work,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(id: &str, zone: &str) -> Endpoint {
    Endpoint {
        born_ms: None,
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: 16,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

fn balancer(engines: bool, ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("z");
    let engine = engines.then_some(Engine {
        slots: 16,
        cache_tokens: 100_000,
        tokens_per_event: 1,
    });
    let service = Service {
        max_connections: 10,
        engine,
        scaling: None,
    };
    balancer.configure(&Configuration {
        services: [("s".to_string(), service)].into(),
        ..Configuration::default()
    });
    for id in ids {
        balancer.insert(Duration::ZERO, endpoint(id, "z"));
    }
    balancer
}

fn prompt(shared: u64, own: u64, tokens: u32) -> Work {
    let part = |id, tokens| PromptPart { id, tokens };
    Work {
        service: "s".into(),
        parts: vec![part(shared, tokens / 2), part(own, tokens / 2)],
        prompt_tokens: tokens,
        answer_tokens: 50,
        body_bytes: 0,
    }
}

fn plain() -> Work {
    Work {
        service: "s".into(),
        ..Work::default()
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

#[test]
fn a_prompt_goes_to_the_endpoint_that_caches_its_prefix() {
    let mut balancer = balancer(true, &["a", "b", "c"]);
    let mut rng = rng();
    let first = balancer
        .choose(ms(0), &prompt(1, 2, 8000), &[], Versions::Any, &mut rng)
        .unwrap();
    let ticket = balancer.sent(ms(0), &prompt(1, 2, 8000), &first);
    balancer.ended(ms(2000), &ticket, HealthSignal::Healthy);
    for own in 3..20 {
        let again = prompt(1, own, 8000);
        let next = balancer
            .choose(ms(2000 + own), &again, &[], Versions::Any, &mut rng)
            .unwrap();
        assert_eq!(next.endpoint, first.endpoint);
        assert_eq!(next.unread_tokens, 4000);
    }
}

#[test]
fn prompts_of_other_gateways_count_as_queued() {
    let mut balancer = balancer(true, &["a", "b"]);
    balancer.peer_sent(
        ms(0),
        PeerDispatch {
            endpoint: endpoint_hash("a"),
            unread_tokens: 50_000,
            shared_prompt: 0,
            sent_at: ms(0),
            hold: ms(3000),
        },
    );
    let mut rng = rng();
    for own in 0..20 {
        let choice = balancer.choose(ms(5), &prompt(0, own, 500), &[], Versions::Any, &mut rng);
        assert_eq!(choice.unwrap().endpoint, "b");
    }
}

#[test]
fn an_unresponsive_endpoint_is_skipped_unless_it_is_the_only_one() {
    let mut balancer = balancer(false, &["a", "b"]);
    let mut rng = rng();
    let first = balancer
        .choose(ms(0), &plain(), &[], Versions::Any, &mut rng)
        .unwrap();
    let ticket = balancer.sent(ms(0), &plain(), &first);
    balancer.ended(ms(300), &ticket, HealthSignal::Unresponsive);
    for _ in 0..20 {
        let next = balancer
            .choose(ms(301), &plain(), &[], Versions::Any, &mut rng)
            .unwrap();
        assert_ne!(next.endpoint, first.endpoint);
    }
    let other = if first.endpoint == "a" { "b" } else { "a" };
    let only = balancer.choose(
        ms(301),
        &plain(),
        &[other.to_string()],
        Versions::Any,
        &mut rng,
    );
    assert_eq!(only.unwrap().endpoint, first.endpoint);
}

#[test]
fn a_draining_endpoint_is_never_chosen() {
    let mut balancer = balancer(false, &["a"]);
    let mut draining = endpoint("a", "z");
    draining.state = EndpointState::Draining { leaves_in: None };
    balancer.insert(ms(1), draining);
    assert!(balancer
        .choose(ms(2), &plain(), &[], Versions::Any, &mut rng())
        .is_none());
}

#[test]
fn a_caller_that_gives_up_just_before_its_time_limit_shows_an_unresponsive_endpoint() {
    let signal =
        |waited, expected, given| signal_without_answer(ms(waited), ms(expected), ms(given));
    assert_eq!(signal(2990, 50, 3000), HealthSignal::Unresponsive);
    assert_eq!(signal(795, 60, 800), HealthSignal::Unresponsive);
    assert_eq!(signal(200, 60, 800), HealthSignal::Inconclusive);
    assert_eq!(signal(2400, 50, 15_000), HealthSignal::Unresponsive);
    assert_eq!(
        signal(2400, 1500, 15_000),
        HealthSignal::Inconclusive,
        "a long prompt"
    );
}

#[test]
fn unreported_light_requests_do_not_narrow_the_choice_for_a_heavy_prompt() {
    let ids: Vec<String> = (0..24).map(|i| format!("e{i}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut balancer = balancer(true, &ids);
    for at in 0..1500 {
        let dispatch = PeerDispatch {
            endpoint: endpoint_hash(ids[at as usize % ids.len()]),
            unread_tokens: 300,
            shared_prompt: 0,
            sent_at: ms(at),
            hold: ms(100),
        };
        balancer.peer_sent(ms(at + 400), dispatch);
    }
    let mut weighed = |tokens| {
        let placement = balancer.choose(
            ms(2000),
            &prompt(1, 2, tokens),
            &[],
            Versions::Any,
            &mut rng(),
        );
        placement.expect("engines are ready").weighed
    };
    assert_eq!(weighed(20_000), ids.len());
    assert!(weighed(300) < ids.len() / 2);
}

#[test]
fn reading_rate_and_overhead_are_measured_separately() {
    const OVERHEAD_MS: u64 = 30;
    const RATE: u64 = 150;
    let mut balancer = balancer(true, &["a"]);
    let mut rng = rng();
    for own in 0..200 {
        let tokens = if own % 2 == 0 { 300 } else { 3000 };
        let (work, at) = (prompt(2 * own + 1, 2 * own + 2, tokens), ms(own * 1000));
        let placement = balancer
            .choose(at, &work, &[], Versions::Any, &mut rng)
            .unwrap();
        let mut ticket = balancer.sent(at, &work, &placement);
        let took = OVERHEAD_MS + u64::from(placement.unread_tokens) / RATE;
        balancer.first_token(at + ms(took), &mut ticket);
        balancer.ended(at + ms(900), &ticket, HealthSignal::Healthy);
        let known = balancer.known_rate("s");
        assert_eq!(known.is_some(), own >= 23, "{own} {known:?}");
    }
    let rate = balancer.known_rate("s").unwrap();
    assert!((140.0..=160.0).contains(&rate), "{rate}");
}

/// One gateway sends groups of streams to engines that follow a law. The events of each stream come
/// at the times given by the law.
#[test]
fn the_engine_law_is_learnt_from_streams() {
    const BASE_MS: f64 = 3.0;
    const PER_RUNNING_MS: f64 = 0.1;
    let mut balancer = balancer(true, &["a"]);
    let mut rng = rng();
    let mut now = Duration::ZERO;
    for round in 0..200_u64 {
        let running = 1 + (round * 7) % 24;
        let work = |own| prompt(1, 1000 * round + own + 2, 400);
        let mut tickets: Vec<_> = (0..running)
            .map(|own| {
                let work = work(own);
                let placement = balancer.choose(now, &work, &[], Versions::Any, &mut rng);
                balancer.sent(now, &work, &placement.unwrap())
            })
            .collect();
        for _ in 0..=32 {
            now += Duration::from_secs_f64((BASE_MS + PER_RUNNING_MS * running as f64) / 1000.0);
            for ticket in &mut tickets {
                balancer.first_token(now, ticket);
                balancer.event(now, ticket);
            }
        }
        for ticket in &tickets {
            balancer.stream_ended(now, ticket, Some(ms(300)), Duration::from_secs(10));
            balancer.ended(now, ticket, HealthSignal::Healthy);
        }
    }
    let learnt = balancer.learnt("s");
    let law = learnt.estimate().law;
    assert!((2.7..=3.3).contains(&law.base_ms), "{law:?}");
    assert!((0.09..=0.11).contains(&law.per_running_ms), "{law:?}");
    // 33 events of one token in 10 s, and pauses of 300 ms.
    let allowed = learnt.allowed_paces.max_pace_ms(0.95).unwrap();
    assert!((200.0..=300.0).contains(&allowed), "{allowed}");
}

#[test]
fn a_request_goes_only_to_endpoints_of_an_allowed_version() {
    let mut balancer = balancer(true, &[]);
    for i in 0..8 {
        let spec = endpoint(&format!("e{i}"), "z");
        let version = if i < 4 { "v1" } else { "v2" };
        balancer.insert(
            ms(0),
            Endpoint {
                version: version.into(),
                ..spec
            },
        );
    }
    let mut rng = rng();
    let mut chosen = |versions| {
        let work = prompt(1, 2, 1000);
        let ids = (0..200).filter_map(|i| {
            let placed = balancer.choose(ms(i * 100), &work, &[], versions, &mut rng)?;
            Some((placed.endpoint, placed.version))
        });
        ids.collect::<std::collections::BTreeSet<_>>()
    };
    let of = |set: &std::collections::BTreeSet<(String, Option<String>)>, version: &str| {
        set.iter().all(|(_, v)| v.as_deref() == Some(version))
    };
    let old = chosen(Versions::Not("v2"));
    assert!(!old.is_empty() && of(&old, "v1"), "{old:?}");
    let new = chosen(Versions::Only("v2"));
    assert!(!new.is_empty() && of(&new, "v2"), "{new:?}");
    let few = chosen(Versions::Few("v2", 1));
    assert!(few.len() == 1 && of(&few, "v2"), "{few:?}");
    assert!(chosen(Versions::Only("v3")).is_empty());
}

#[test]
fn a_stream_whose_endpoint_was_removed_and_added_again_gives_no_sample() {
    let mut balancer = balancer(true, &["a"]);
    let mut rng = rng();
    let work = prompt(1, 2, 40_000);
    let placement = balancer.choose(ms(0), &work, &[], Versions::Any, &mut rng);
    let placement = placement.unwrap();
    let mut ticket = balancer.sent(ms(0), &work, &placement);
    balancer.first_token(ms(10), &mut ticket);
    balancer.event(ms(10), &mut ticket);
    let endpoint = balancer.endpoint("a").unwrap().clone();
    balancer.remove("a");
    balancer.insert(ms(20), endpoint);
    for i in 0..40 {
        balancer.event(ms(20 + 5 * i), &mut ticket);
    }
    balancer.stream_ended(ms(300), &ticket, None, Duration::from_secs(10));
    let steps = balancer.learnt("s").steps;
    assert!(steps.read >= 0.0, "{steps:?}");
}
