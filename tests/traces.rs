//! The recorded traces against the outcomes they state.

use replay::{parse, replay, Line, Options};

fn check(name: &str) {
    let path = format!("{}/traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let lines = parse(&std::fs::read_to_string(path).expect("the trace is there")).unwrap();
    let report = replay(&lines, Options::default());
    let expects = lines.iter().filter_map(|line| match line {
        Line::Expect(expect) => Some(expect),
        _ => None,
    });
    let misses: Vec<String> = expects.flat_map(|e| report.misses(e)).collect();
    assert_eq!(misses, Vec::<String>::new(), "{report}");
}

#[test]
fn a_boarding_rush_at_waitemata() {
    check("waitemata-boarding-rush");
}

#[test]
fn two_halls_of_waitemata_reclaimed_one_after_the_other() {
    check("waitemata-halls-reclaimed-twice");
}

#[test]
fn two_halls_of_waitemata_reclaimed_with_three_seconds_of_notice() {
    check("waitemata-halls-reclaimed-in-three-seconds");
}

#[test]
fn a_payday_weekend_at_habi_loom() {
    check("habi-payday-weekend");
}

#[test]
fn a_market_tuesday_with_drafts_moved() {
    check("habi-market-tuesday");
}

#[test]
fn an_april_evening_with_stalled_price_checks() {
    check("habi-april-evening");
}
