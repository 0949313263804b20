//! What counts as the same request.

use quarantine::{Content, Fingerprint};
use quickcheck::{quickcheck, TestResult};

const ASKED: Content<'_> = Content {
    method: "POST",
    host: "h",
    target: "/a/?b=c",
    team: Some("t"),
    body: b"body",
};

#[test]
fn a_request_that_comes_again_has_the_same_fingerprint() {
    let copy = b"body".to_vec();
    let again = Content {
        body: &copy,
        ..ASKED
    };
    assert_eq!(Fingerprint::of(&ASKED), Fingerprint::of(&again));
}

#[test]
fn every_field_makes_a_difference() {
    let others = [
        Content {
            method: "PUT",
            ..ASKED
        },
        Content { host: "g", ..ASKED },
        Content {
            target: "/a/?b=d",
            ..ASKED
        },
        Content {
            team: None,
            ..ASKED
        },
        Content {
            team: Some(""),
            ..ASKED
        },
        Content {
            body: b"bodies",
            ..ASKED
        },
    ];
    let mut seen: Vec<Fingerprint> = others.iter().map(Fingerprint::of).collect();
    seen.push(Fingerprint::of(&ASKED));
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), others.len() + 1);
}

#[test]
fn bytes_that_move_from_one_field_to_the_next_make_a_difference() {
    fn differ(host: String, target: String, at: usize) -> TestResult {
        let both = format!("{host}{target}");
        let at = at % (both.len() + 1);
        if !both.is_char_boundary(at) || at == host.len() {
            return TestResult::discard();
        }
        let (other_host, other_target) = both.split_at(at);
        let asked = Content {
            host: &host,
            target: &target,
            ..ASKED
        };
        let moved = Content {
            host: other_host,
            target: other_target,
            ..ASKED
        };
        TestResult::from_bool(Fingerprint::of(&asked) != Fingerprint::of(&moved))
    }
    quickcheck(differ as fn(String, String, usize) -> TestResult);
}
