//! An endpoint that starts again under its id is another process: it runs, keeps and owes nothing of the one before.

mod common;

use std::time::Duration;

use directory::{Endpoint, EndpointState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::placement::{
    incarnation, Board, PeerDispatch, Placement, PromptPart, Sight, Verdict, Versions, Work,
};

const NOW: Duration = Duration::from_secs(10);
const TOKENS: u32 = 4000;

fn endpoint(id: &str, born_ms: Option<u64>) -> Endpoint {
    Endpoint {
        id: id.into(),
        born_ms,
        service: "s".into(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 16,
        state: EndpointState::Ready,
        reclaimable: false,
        cold: Duration::ZERO,
        version: "v1".into(),
    }
}

fn board() -> Board {
    let mut board = Board::new("z");
    common::configure(&mut board, 16);
    board.insert(NOW, endpoint("a", Some(1)));
    board
}

fn prompt() -> Work {
    Work {
        service: "s".into(),
        parts: vec![PromptPart {
            id: 7,
            tokens: TOKENS,
        }],
        prompt_tokens: TOKENS,
        answer_tokens: 50,
        body_bytes: 0,
    }
}

fn choose(board: &mut Board) -> Placement {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen = board.choose(NOW, &prompt(), &[], Versions::Any, &mut rng);
    chosen.expect("an endpoint")
}

#[test]
fn what_ran_and_was_kept_ends_with_the_process() {
    let mut board = board();
    let first = choose(&mut board);
    board.sent(NOW, &prompt(), &first);
    assert_eq!(choose(&mut board).unread_tokens, 0, "kept");
    let waits_ms = choose(&mut board).expected_ms;
    board.insert(NOW, endpoint("a", Some(2)));
    let again = choose(&mut board);
    assert_eq!(again.unread_tokens, TOKENS);
    assert!(again.expected_ms > 0.0 && waits_ms > 0.0);
    assert_eq!(board.occupancy(NOW, "s")["z"].requests, 0);
}

#[test]
fn the_end_of_an_old_run_takes_nothing_from_the_new_process() {
    let mut board = board();
    let first = choose(&mut board);
    let mut old = board.sent(NOW, &prompt(), &first);
    board.insert(NOW, endpoint("a", Some(2)));
    let second = choose(&mut board);
    board.sent(NOW, &prompt(), &second);
    board.first_token(NOW, &mut old);
    board.ended(NOW, &old, Verdict::Silent);
    assert_eq!(board.occupancy(NOW, "s")["z"].requests, 1);
    // A silent end of the old run would have the endpoint passed over.
    assert_eq!(choose(&mut board).endpoint, "a");
}

#[test]
fn what_others_sent_to_the_process_before_is_not_counted() {
    let mut board = board();
    board.insert(NOW, endpoint("a", Some(2)));
    let mut hear = |born| {
        board.peer_sent(
            NOW,
            PeerDispatch {
                endpoint: incarnation("a", Some(born)),
                unread_tokens: TOKENS,
                shared_prompt: 0,
                sent_at: NOW,
                hold: Duration::from_secs(1),
            },
        );
        board.occupancy(NOW, "s")["z"].requests
    };
    assert_eq!(hear(1), 0);
    assert_eq!(hear(2), 1);
}

#[test]
fn a_birth_that_goes_back_or_is_missing_tells_starts_apart_as_well() {
    for (before, after) in [(Some(5), Some(4)), (Some(5), None), (None, Some(5))] {
        let mut board = board();
        board.insert(NOW, endpoint("a", before));
        let placed = choose(&mut board);
        assert!(!board.is_over(&placed));
        board.insert(NOW, endpoint("a", after));
        assert!(board.is_over(&placed), "{before:?} {after:?}");
    }
}

#[test]
fn a_record_of_the_same_start_keeps_what_is_known() {
    let mut board = board();
    let placed = choose(&mut board);
    board.sent(NOW, &prompt(), &placed);
    board.insert(
        NOW,
        Endpoint {
            slots: 8,
            ..endpoint("a", Some(1))
        },
    );
    assert!(!board.is_over(&placed));
    assert_eq!(choose(&mut board).unread_tokens, 0);
}

#[test]
fn a_load_that_the_old_process_reported_is_not_the_new_ones() {
    let mut board = Board::new("z");
    board.insert(NOW, endpoint("a", Some(1)));
    let plain = Work {
        service: "s".into(),
        ..Work::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let placed = board.choose(NOW, &plain, &[], Versions::Any, &mut rng);
    let placed = placed.expect("an endpoint");
    let sight = Sight {
        endpoint: placed.incarnation,
        at: NOW,
        requests: Some(5),
        slowdown: None,
    };
    board.insert(NOW, endpoint("a", Some(2)));
    board.see(sight);
    assert_eq!(board.occupancy(NOW, "s")["z"].requests, 0);
}
