//! Where requests go among several regions.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{
    endpoint_hash, Board, Exclusion, PeerDispatch, Placement, PromptPart, Verdict, Versions, Ways,
    Work,
};
use topology::Topology;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn topology() -> Topology {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let regions = regions.map(|(hall, region)| (hall.to_string(), region.to_string()));
    Topology::new("a1", "a", &BTreeMap::from(regions))
}

fn endpoint(id: &str, hall: &str) -> Endpoint {
    Endpoint {
        born_ms: None,
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: hall.into(),
        slots: 16,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

/// A board of a gateway in hall a1 with endpoints named by their halls.
fn board(endpoints: &[(&str, &str)]) -> Board {
    let mut board = Board::in_topology(topology());
    common::configure(&mut board, 16);
    for (id, hall) in endpoints {
        board.insert(ms(0), endpoint(id, hall));
    }
    board
}

fn prompt(own: u64, tokens: u32, body_bytes: u32) -> Work {
    let part = |id, tokens| PromptPart { id, tokens };
    Work {
        service: "s".into(),
        parts: vec![part(1, tokens / 2), part(own, tokens / 2)],
        prompt_tokens: tokens,
        answer_tokens: 50,
        body_bytes,
    }
}

/// Makes prompts of others wait at an endpoint for about so long, at the first guess of the rate.
fn make_wait(board: &mut Board, id: &str, wait_ms: u32) {
    let dispatch = PeerDispatch {
        endpoint: endpoint_hash(id),
        unread_tokens: wait_ms * 30,
        shared_prompt: 0,
        sent_at: ms(0),
        hold: ms(60_000),
    };
    board.peer_sent(ms(0), dispatch);
}

fn choose(board: &mut Board, now: Duration, work: &Work) -> Option<Placement> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    board.choose(now, work, &[], Versions::Any, &mut rng)
}

/// Parts of the link that carry so many bytes a second to region b.
fn parts(rate: f64) -> BTreeMap<String, f64> {
    BTreeMap::from([("b".to_string(), rate)])
}

#[test]
fn a_request_stays_in_its_region_while_that_has_room() {
    let mut board = board(&[("a", "a2"), ("b", "b1")]);
    for own in 2..200 {
        let work = prompt(own, 300, 1_000);
        let placed = choose(&mut board, ms(own * 1000), &work).unwrap();
        assert_eq!((placed.endpoint.as_str(), placed.bytes_across), ("a", 0));
    }
}

#[test]
fn a_request_leaves_its_region_when_the_wait_there_is_longer_than_the_way() {
    for (wait, expected) in [(70, "a"), (200, "b")] {
        let mut board = board(&[("a", "a2"), ("b", "b1")]);
        make_wait(&mut board, "a", wait);
        let placed = choose(&mut board, ms(0), &prompt(2, 300, 1_000)).unwrap();
        assert_eq!(placed.endpoint, expected, "{wait} ms");
        assert_eq!(placed.home_ms.is_some(), expected == "b");
        assert_eq!(placed.bytes_across > 0, expected == "b");
    }
}

#[test]
fn a_busy_endpoint_elsewhere_does_not_draw_requests() {
    let mut board = board(&[("a", "a2"), ("b", "b1")]);
    make_wait(&mut board, "a", 200);
    make_wait(&mut board, "b", 200);
    let placed = choose(&mut board, ms(0), &prompt(2, 300, 1_000)).unwrap();
    assert_eq!(placed.endpoint, "a");
}

#[test]
fn requests_of_many_bytes_leave_last() {
    let leaves = |bytes, taken_of_link: usize| {
        let mut board = board(&[("a", "a2"), ("b", "b1")]);
        board.ways_mut().set_link(60_000);
        board.set_link_parts(ms(0), &parts(150_000.0));
        make_wait(&mut board, "a", 1700);
        let now = ms(1000);
        for own in 0..taken_of_link {
            let small = prompt(100 + own as u64, 300, 10_000);
            choose(&mut board, now, &small).unwrap();
        }
        let placed = choose(&mut board, now, &prompt(2, 300, bytes)).unwrap();
        assert_eq!(placed.kept_for_link, placed.endpoint == "a");
        placed.endpoint == "b"
    };
    assert!(leaves(1_000, 0) && leaves(72_000, 0));
    assert!(leaves(1_000, 7) && !leaves(72_000, 7));
}

#[test]
fn with_a_full_link_a_request_is_served_at_home_however_long_the_wait() {
    let mut board = board(&[("a", "a2"), ("b", "b1")]);
    board.set_link_parts(ms(0), &parts(10.0));
    make_wait(&mut board, "a", 4000);
    let work = prompt(2, 300, 1_000);
    let placed = choose(&mut board, ms(0), &work).unwrap();
    assert!(placed.endpoint == "a" && placed.kept_for_link);
    assert_eq!(board.link_wait(ms(0), &work), None);
}

#[test]
fn a_region_without_endpoints_is_served_by_the_other_within_its_part_of_the_link() {
    let mut board = board(&[("b", "b1")]);
    board.set_link_parts(ms(0), &parts(100_000.0));
    let mut bytes = 0;
    for at in 1..=10_000 {
        let work = prompt(at, 300, 5_000);
        match choose(&mut board, ms(at), &work) {
            Some(placed) => {
                assert_eq!(placed.home_ms, None);
                assert_eq!(board.link_wait(ms(at), &work), None);
                bytes += placed.bytes_across;
            }
            None => {
                let wait = board
                    .link_wait(ms(at), &work)
                    .expect("the link has no room");
                assert!(wait <= ms(100), "{wait:?}");
                let later = ms(at + 1) + wait;
                if at == 5_000 {
                    assert!(
                        choose(&mut board, later, &work).is_some(),
                        "{wait:?} was true"
                    );
                    return assert!((400_000..=600_000).contains(&bytes), "{bytes}");
                }
            }
        }
    }
    panic!("the link never bound");
}

#[test]
fn without_any_endpoint_the_link_is_not_blamed() {
    let mut board = board(&[]);
    board.set_link_parts(ms(0), &parts(10.0));
    let work = prompt(2, 300, 1_000);
    assert_eq!(choose(&mut board, ms(0), &work), None);
    assert_eq!(board.link_wait(ms(0), &work), None);
}

#[test]
fn a_shared_prompt_has_a_home_in_each_region() {
    let halls = ["a1", "a2", "b1", "b2"];
    let names: Vec<String> = (0..40).map(|i| format!("e{i}")).collect();
    let named = names.iter().zip(halls.iter().cycle());
    let named: Vec<(&str, &str)> = named.map(|(id, hall)| (id.as_str(), *hall)).collect();
    let mut board = board(&named);
    let first = choose(&mut board, ms(0), &prompt(2, 12_000, 1_000)).unwrap();
    assert_eq!(topology().region_of(&first.hall), "a");
    assert!(
        first.unread_tokens < 12_000,
        "half of the shared part is expected at its home"
    );
}

#[test]
fn the_way_follows_what_is_measured_and_no_single_measurement() {
    let mut ways = Ways::new(topology());
    assert_eq!(ways.round_trip_ms("a1"), 0.0);
    assert_eq!(ways.round_trip_ms("a2"), 2.0);
    assert_eq!(ways.round_trip_ms("b1"), 60.0);
    for _ in 0..9 {
        ways.measured("b1", ms(20));
    }
    assert_eq!(ways.round_trip_ms("b1"), 20.0);
    for _ in 0..4 {
        ways.measured("b1", ms(900));
        assert_eq!(ways.round_trip_ms("b1"), 20.0);
    }
    ways.measured("b1", ms(900));
    assert_eq!(ways.round_trip_ms("b1"), 900.0, "five in a row");
    assert_eq!(ways.round_trip_ms("b2"), 60.0, "another hall");
}

#[test]
fn time_of_processors_is_no_way() {
    let mut ways = Ways::new(topology());
    ways.measured("a1", ms(8));
    ways.measured("a2", ms(9));
    ways.measured("b1", ms(5));
    assert_eq!(ways.round_trip_ms("a2"), 1.0);
    assert_eq!(ways.round_trip_ms("b1"), 0.0);
}

#[test]
fn a_region_that_is_near_is_used_sooner() {
    let mut board = board(&[("a", "a2"), ("b", "b1")]);
    for _ in 0..9 {
        board.ways_mut().measured("b1", ms(4));
    }
    make_wait(&mut board, "a", 70);
    let placed = choose(&mut board, ms(0), &prompt(2, 300, 1_000)).unwrap();
    assert_eq!(placed.endpoint, "b");
}

#[test]
fn bytes_make_the_way_longer() {
    let mut ways = Ways::new(topology());
    let (small, large) = (ways.cost_ms("b1", 1_000), ways.cost_ms("b1", 72_000));
    assert_eq!((small, large), (90.0, 270.0));
    ways.set_link(60_000);
    assert!(ways.cost_ms("b1", 72_000) > large + 9.0);
    assert_eq!(ways.cost_ms("a2", 72_000), 2.0);
}

#[test]
fn the_way_to_an_endpoint_is_not_taken_for_its_slowness() {
    const RATE: u64 = 150;
    let mut board = board(&[("b", "b1")]);
    for own in 0..200 {
        let tokens = if own % 2 == 0 { 300 } else { 9000 };
        let work = prompt(1000 + own, tokens, 0);
        let at = ms(own * 2000);
        let placed = choose(&mut board, at, &work).unwrap();
        let mut ticket = board.sent(at, &work, &placed);
        let took = 60 + u64::from(placed.unread_tokens) / RATE;
        board.first_token(at + ms(took), &mut ticket);
        board.ended(at + ms(took + 100), &ticket, Verdict::Sound);
    }
    let rate = board.known_rate("s").unwrap();
    assert!((130.0..=170.0).contains(&rate), "{rate}");
}

#[test]
fn a_request_of_a_gateway_elsewhere_is_placed_in_that_gateways_region() {
    let mut board = board(&[("a", "a1"), ("b", "b1")]);
    board.set_link_parts(ms(0), &parts(100_000.0));
    let region_b = topology().region_index_of("b2");
    let work = prompt(2, 300, 1_000);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut placed = |board: &mut Board| {
        let now = ms(1000);
        let placed = board.choose_from(
            region_b,
            now,
            &work,
            Exclusion::default(),
            Versions::Any,
            &mut rng,
        );
        placed.unwrap()
    };
    let there = placed(&mut board);
    assert_eq!((there.endpoint.as_str(), there.bytes_across), ("b", 0));
    make_wait(&mut board, "b", 2000);
    let here = placed(&mut board);
    assert_eq!(here.endpoint, "a");
    assert!(here.bytes_across > 0, "it crosses the link all the same");
}

#[test]
fn silent_endpoints_at_home_are_used_only_when_the_link_has_no_room() {
    let mut board = board(&[("a", "a1"), ("b", "b1")]);
    let work = prompt(2, 300, 1_000);
    let first = choose(&mut board, ms(0), &work).unwrap();
    assert_eq!(first.endpoint, "a");
    let ticket = board.sent(ms(0), &work, &first);
    board.ended(ms(10), &ticket, Verdict::Silent);
    assert_eq!(choose(&mut board, ms(20), &work).unwrap().endpoint, "b");
    board.set_link_parts(ms(20), &parts(10.0));
    let placed = choose(&mut board, ms(20), &work).unwrap();
    assert!(placed.endpoint == "a" && placed.kept_for_link);
}
