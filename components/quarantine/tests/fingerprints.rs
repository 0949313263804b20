//! Which requests have the same fingerprint.

use quarantine::{Content, Fingerprint};
use quickcheck::{quickcheck, TestResult};

const CONTENT: Content<'_> = Content {
    method: "POST",
    host: "h",
    target: "/a/?b=c",
    team: Some("t"),
    body: b"body",
};

#[test]
fn a_retried_request_has_the_same_fingerprint() {
    let copy = b"body".to_vec();
    let retried = Content {
        body: &copy,
        ..CONTENT
    };
    assert_eq!(Fingerprint::of(&CONTENT), Fingerprint::of(&retried));
}

#[test]
fn every_field_changes_the_fingerprint() {
    let others = [
        Content {
            method: "PUT",
            ..CONTENT
        },
        Content {
            host: "g",
            ..CONTENT
        },
        Content {
            target: "/a/?b=d",
            ..CONTENT
        },
        Content {
            team: None,
            ..CONTENT
        },
        Content {
            team: Some(""),
            ..CONTENT
        },
        Content {
            body: b"bodies",
            ..CONTENT
        },
    ];
    let mut seen: Vec<Fingerprint> = others.iter().map(Fingerprint::of).collect();
    seen.push(Fingerprint::of(&CONTENT));
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), others.len() + 1);
}

#[test]
fn bytes_moved_from_one_field_to_the_next_change_the_fingerprint() {
    fn differ(host: String, target: String, at: usize) -> TestResult {
        let both = format!("{host}{target}");
        let at = at % (both.len() + 1);
        if !both.is_char_boundary(at) || at == host.len() {
            return TestResult::discard();
        }
        let (other_host, other_target) = both.split_at(at);
        let original = Content {
            host: &host,
            target: &target,
            ..CONTENT
        };
        let moved = Content {
            host: other_host,
            target: other_target,
            ..CONTENT
        };
        TestResult::from_bool(Fingerprint::of(&original) != Fingerprint::of(&moved))
    }
    quickcheck(differ as fn(String, String, usize) -> TestResult);
}
