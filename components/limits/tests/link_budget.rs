//! Gateways' parts of the link between two regions.

use std::time::Duration;

use limits::{link_part_bytes_per_s, Decider, LinkBudget};
use quickcheck::quickcheck;

/// Bandwidth of the link in these tests, in kilobits per second.
const LINK_KBIT_PER_S: u64 = 60_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

quickcheck! {
    fn parts_of_all_gateways_never_add_up_to_more_than_half_of_the_link(
        kbit: u32, coordinators: u8, gateways: u16
    ) -> bool {
        let kbit = u64::from(kbit);
        let (coordinators, gateways) = (usize::from(coordinators) + 1, usize::from(gateways) + 1);
        let coordinating =
            link_part_bytes_per_s(kbit, Decider::Coordinator(coordinators)) * coordinators as f64;
        let alone = link_part_bytes_per_s(kbit, Decider::Alone(gateways)) * gateways as f64;
        let link_bytes_per_s = kbit as f64 * 125.0;
        // Half of the link is reserved for traffic that must not be queued behind requests.
        coordinating + alone <= link_bytes_per_s / 2.0 * (1.0 + 1e-9)
    }

    fn bytes_that_pass_never_exceed_the_part_by_more_than_one_second_of_it(
        requests: Vec<(u16, u16)>
    ) -> bool {
        let bytes_per_s = 100_000.0;
        let mut budget = LinkBudget::new(ms(0), bytes_per_s);
        let mut now = ms(0);
        let mut passed = 0;
        for (pause, bytes) in requests {
            now += ms(u64::from(pause % 500));
            let bytes = u64::from(bytes);
            if budget.has_room(now, bytes) {
                budget.take(now, bytes);
                passed += bytes;
            }
        }
        passed as f64 <= bytes_per_s * (now.as_secs_f64() + 1.0)
    }

    fn a_larger_request_must_not_gain_less(bytes: u16, more: u16, idle_ms: u16) -> bool {
        let now = ms(u64::from(idle_ms));
        let mut budget = LinkBudget::new(ms(0), 200_000.0);
        let less = budget.min_gain_ms(now, u64::from(bytes));
        budget.min_gain_ms(now, u64::from(bytes) + u64::from(more)) >= less
    }
}

#[test]
fn a_full_bucket_lets_small_requests_pass_for_a_small_gain() {
    let mut budget = LinkBudget::new(
        ms(0),
        link_part_bytes_per_s(LINK_KBIT_PER_S, Decider::Coordinator(18)),
    );
    let (small, large) = (1_500, 76_000);
    let small_gain = budget.min_gain_ms(ms(2000), small);
    let large_gain = budget.min_gain_ms(ms(2000), large);
    assert!(small_gain < 1.0, "{small_gain}");
    assert!((20.0..200.0).contains(&large_gain), "{large_gain}");
}

#[test]
fn the_required_gain_grows_as_the_bucket_empties() {
    let mut budget = LinkBudget::new(ms(0), 100_000.0);
    let mut before = budget.min_gain_ms(ms(2000), 5_000);
    for _ in 0..15 {
        budget.take(ms(2000), 6_000);
        let now = budget.min_gain_ms(ms(2000), 5_000);
        assert!(now > before, "{now} {before}");
        before = now;
    }
    budget.take(ms(2000), 6_000);
    assert!(budget.min_gain_ms(ms(2000), 5_000).is_infinite());
}

#[test]
fn there_is_room_once_the_returned_time_has_passed() {
    let mut budget = LinkBudget::new(ms(0), 100_000.0);
    budget.take(ms(2000), 100_000);
    let wait = budget.time_until_room(ms(2000), 30_000);
    assert!(!budget.has_room(ms(2000) + wait - ms(1), 30_000));
    assert!(budget.has_room(ms(2000) + wait + ms(1), 30_000));
}

#[test]
fn a_request_larger_than_the_capacity_passes_once_nothing_was_used_for_a_second() {
    let mut budget = LinkBudget::new(ms(0), 10_000.0);
    assert!(!budget.has_room(ms(900), 50_000));
    assert!(budget.has_room(ms(1000), 50_000));
    budget.take(ms(1000), 50_000);
    assert!(!budget.has_room(ms(5000), 1_000));
}

#[test]
fn a_new_process_starts_with_an_empty_bucket() {
    assert!(!LinkBudget::new(ms(7000), 100_000.0).has_room(ms(7000), 1));
}
