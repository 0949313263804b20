//! What a gateway knows of engines that others saw.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::{Learnt, Reports, Sample};

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

// Steps of 3 ms and 0.1 ms for each running request, and 0.02 ms for each token read.
fn seen(samples: u32, of: u32) -> Learnt {
    let mut learnt = Learnt::default();
    for i in 0..samples {
        let running = f64::from(1 + (i * 7 + of) % 24);
        let read_tokens = f64::from((i * 13 + of) % 200);
        learnt.steps.add(&Sample {
            step_ms: 3.0 + 0.1 * running + 0.02 * read_tokens,
            running,
            read_tokens,
        });
    }
    learnt
}

fn of_service(learnt: Learnt) -> BTreeMap<String, Learnt> {
    BTreeMap::from([("s".to_string(), learnt)])
}

#[test]
fn whoever_saw_nothing_itself_knows_the_law_from_what_others_reported() {
    let mut reports = Reports::default();
    for (i, gateway) in ["g1", "g2", "g3", "g4"].into_iter().enumerate() {
        let few = seen(20, i as u32);
        assert_eq!(few.estimate().known(), None);
        reports.receive(at(1), gateway, of_service(few));
    }
    let law = reports.with(Learnt::default(), "s").estimate().known();
    let law = law.expect("80 samples at several numbers of running requests");
    assert!((law.base_ms - 3.0).abs() < 0.2, "{law:?}");
    let other = reports.with(Learnt::default(), "t");
    assert_eq!(other.estimate().known(), None);
}

#[test]
fn only_the_newest_report_of_a_gateway_counts() {
    let mut reports = Reports::default();
    reports.receive(at(1), "g1", of_service(seen(50, 0)));
    reports.receive(at(2), "g1", of_service(seen(60, 0)));
    reports.receive(at(2), "g2", of_service(seen(10, 3)));
    let all = reports.with(seen(5, 9), "s");
    assert!((all.steps.count - 75.0).abs() < 1e-9, "{all:?}");
}

#[test]
fn what_a_gateway_reported_long_ago_is_forgotten() {
    let mut reports = Reports::default();
    reports.receive(at(1), "g1", of_service(seen(50, 0)));
    reports.receive(at(200), "g2", of_service(seen(10, 0)));
    let all = reports.with(Learnt::default(), "s");
    assert!((all.steps.count - 10.0).abs() < 1e-9, "{all:?}");
}
