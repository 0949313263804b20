//! When the counts of ended windows are forwarded.

use std::time::Duration;

use usage::{Forwarding, WindowTiming};

fn forwarding() -> Forwarding {
    Forwarding::new(WindowTiming {
        window: Duration::from_secs(5),
        settle_delay: Duration::from_millis(4500),
        due: Duration::from_secs(10),
    })
}

fn due_between(forwarding: &mut Forwarding, from_ms: u64, to_ms: u64, epoch: i64) -> Vec<i64> {
    let times = (from_ms..to_ms).step_by(100);
    let due = times.flat_map(|ms| forwarding.due(Duration::from_millis(ms), epoch));
    due.collect()
}

#[test]
fn each_window_is_forwarded_twice_soon_after_its_end() {
    let mut forwarding = forwarding();
    due_between(&mut forwarding, 99_000, 105_000, 1);
    assert_eq!(due_between(&mut forwarding, 105_000, 105_700, 1), []);
    assert_eq!(due_between(&mut forwarding, 105_700, 109_500, 1), [20, 20]);
}

#[test]
fn a_new_holder_gets_every_window_that_may_still_be_reported() {
    let mut forwarding = forwarding();
    due_between(&mut forwarding, 99_000, 109_500, 1);
    let first = due_between(&mut forwarding, 109_500, 109_600, 2);
    assert_eq!(first, [18, 19, 20]);
}

#[test]
fn a_window_is_not_forwarded_before_its_end() {
    let mut forwarding = forwarding();
    let due = due_between(&mut forwarding, 100_000, 104_900, 1);
    assert!(!due.contains(&20), "{due:?}");
}
