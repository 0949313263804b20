//! Tests how a gateway merges the observations of other gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::{EngineStats, PeerReports, Sample};

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

// Steps take 3 ms, plus 0.1 ms per running request and 0.02 ms per prompt token read.
fn observed(samples: u32, offset: u32) -> EngineStats {
    let mut stats = EngineStats::default();
    for i in 0..samples {
        let running = f64::from(1 + (i * 7 + offset) % 24);
        let read_tokens = f64::from((i * 13 + offset) % 200);
        stats.steps.add(&Sample {
            step_ms: 3.0 + 0.1 * running + 0.02 * read_tokens,
            running,
            read_tokens,
        });
    }
    stats
}

fn report_for_s(stats: EngineStats) -> BTreeMap<String, EngineStats> {
    BTreeMap::from([("s".to_string(), stats)])
}

#[test]
fn a_gateway_without_observations_learns_the_law_from_peer_reports() {
    let mut reports = PeerReports::default();
    for (i, gateway) in ["g1", "g2", "g3", "g4"].into_iter().enumerate() {
        let few = observed(20, i as u32);
        assert_eq!(few.estimate().confident_law(), None);
        reports.receive(at(1), gateway, report_for_s(few));
    }
    let law = reports
        .merged_with(EngineStats::default(), "s")
        .estimate()
        .confident_law();
    let law = law.expect("80 samples at several numbers of running requests");
    assert!((law.base_ms - 3.0).abs() < 0.2, "{law:?}");
    let other = reports.merged_with(EngineStats::default(), "t");
    assert_eq!(other.estimate().confident_law(), None);
}

#[test]
fn only_the_newest_report_of_a_gateway_counts() {
    let mut reports = PeerReports::default();
    reports.receive(at(1), "g1", report_for_s(observed(50, 0)));
    reports.receive(at(2), "g1", report_for_s(observed(60, 0)));
    reports.receive(at(2), "g2", report_for_s(observed(10, 3)));
    let all = reports.merged_with(observed(5, 9), "s");
    assert!((all.steps.count - 75.0).abs() < 1e-9, "{all:?}");
}

#[test]
fn old_reports_expire() {
    let mut reports = PeerReports::default();
    reports.receive(at(1), "g1", report_for_s(observed(50, 0)));
    reports.receive(at(200), "g2", report_for_s(observed(10, 0)));
    let all = reports.merged_with(EngineStats::default(), "s");
    assert!((all.steps.count - 10.0).abs() < 1e-9, "{all:?}");
}
