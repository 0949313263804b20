//! What is ordered where.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Held, Load, Offer, Scaler, ScalingOrder};

fn offer() -> Offer {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    Offer {
        least: 1,
        most: 6,
        boot: Duration::from_secs(4),
        reclaimable: true,
        zone_prices: prices.iter().map(|(z, p)| (z.to_string(), *p)).collect(),
    }
}

fn held(list: &[(&str, u32, u32)]) -> BTreeMap<String, Held> {
    let held = |(zone, firm, reclaimable): &(&str, u32, u32)| {
        let held = Held {
            firm: *firm,
            reclaimable: *reclaimable,
        };
        (zone.to_string(), held)
    };
    list.iter().map(held).collect()
}

/// Carries orders out at once and returns what is held once none are given any more.
fn settle(scaler: &mut Scaler, held: &mut BTreeMap<String, Held>, load: f64, secs: (u64, u64)) {
    for now in secs.0..secs.1 {
        for order in scaler.plan(Duration::from_secs(now), &offer(), held, load) {
            let zone = held.entry(order.zone).or_default();
            match order.reclaimable {
                true => zone.reclaimable = order.count,
                false => zone.firm = order.count,
            }
        }
    }
}

fn sums(held: &BTreeMap<String, Held>) -> (u32, u32) {
    let firm = held.values().map(|h| h.firm).sum();
    (firm, held.values().map(|h| h.reclaimable).sum())
}

#[test]
fn a_floor_carries_the_load_alone_and_reclaimable_ones_stand_beside() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 3, 0), ("b", 2, 0), ("c", 2, 0), ("d", 2, 0)]);
    settle(&mut scaler, &mut held, 1.5, (0, 60));
    assert_eq!(sums(&held), (2, 5));
    assert!(
        held.values().all(|h| h.firm + h.reclaimable >= 1),
        "{held:?}"
    );
}

#[test]
fn nothing_is_ordered_before_the_endpoints_had_time_to_record_themselves() {
    let mut scaler = Scaler::default();
    let start = held(&[("a", 1, 0)]);
    let at = Duration::from_secs;
    assert!(scaler.plan(at(0), &offer(), &start, 0.0).is_empty());
    assert!(scaler.plan(at(3), &offer(), &start, 0.0).is_empty());
}

#[test]
fn nothing_is_given_back_before_the_load_is_known_and_replaced() {
    let mut scaler = Scaler::default();
    let start = held(&[("a", 1, 0), ("b", 1, 0), ("c", 1, 0), ("d", 1, 0)]);
    let lowers = |orders: &[ScalingOrder]| orders.iter().any(|o| !o.reclaimable);
    let at = Duration::from_secs;
    for now in 0..12 {
        assert!(!lowers(&scaler.plan(at(now), &offer(), &start, 0.0)));
    }
    // The load is known, but no reclaimable one serves yet.
    for now in 12..30 {
        assert!(!lowers(&scaler.plan(at(now), &offer(), &start, 1.9)));
    }
}

#[test]
fn half_of_what_is_found_is_replaced_by_reclaimable_ones_before_any_load() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 3, 0), ("b", 2, 0), ("c", 2, 0), ("d", 2, 0)]);
    settle(&mut scaler, &mut held, 0.0, (0, 20));
    assert_eq!(sums(&held), (5, 4));
}

#[test]
fn firm_ones_are_ordered_when_the_reclaimable_are_gone_and_refused() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 0, 2), ("b", 1, 1), ("c", 0, 1), ("d", 1, 1)]);
    settle(&mut scaler, &mut state, 2.2, (0, 30));
    let after = held(&[("a", 0, 0), ("b", 1, 0), ("c", 0, 0), ("d", 1, 0)]);
    let now = Duration::from_secs(31);
    let orders = scaler.plan(now, &offer(), &after, 2.2);
    let refused: Vec<ScalingOrder> = orders.iter().filter(|o| o.reclaimable).cloned().collect();
    assert!(!refused.is_empty());
    refused.iter().for_each(|order| scaler.refused(now, order));
    let mut ordered = after.clone();
    for order in orders.iter().filter(|o| !o.reclaimable) {
        ordered.entry(order.zone.clone()).or_default().firm = order.count;
    }
    assert_eq!(sums(&ordered).0, 4, "{orders:?}");
    let again = scaler.plan(now + Duration::from_secs(1), &offer(), &after, 2.2);
    assert!(again.iter().all(|o| !o.reclaimable), "{again:?}");
}

#[test]
fn every_zone_keeps_its_least() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 1, 0), ("b", 1, 0), ("c", 1, 0), ("d", 1, 0)]);
    settle(&mut scaler, &mut held, 0.1, (0, 60));
    assert!(
        held.values().all(|h| h.firm + h.reclaimable >= 1),
        "{held:?}"
    );
}

#[test]
fn a_large_fleet_without_reclaimable_ones_is_not_used_to_its_limit() {
    let offer = Offer {
        most: 46,
        ..offer()
    };
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 9, 0), ("b", 9, 0), ("c", 9, 0), ("d", 9, 0)]);
    for now in 0..30 {
        let orders = scaler.plan(Duration::from_secs(now), &offer, &state, 30.0);
        for order in orders {
            match order.reclaimable {
                true => scaler.refused(Duration::from_secs(now), &order),
                false => state.entry(order.zone).or_default().firm = order.count,
            }
        }
    }
    let (firm, reclaimable) = sums(&state);
    assert_eq!(reclaimable, 0);
    assert!((48..=60).contains(&firm), "{firm}");
}

#[test]
fn requests_that_hold_slots_are_a_load_before_all_slots_are_taken() {
    let load = Load {
        tokens_per_s: 0.0,
        rate: 64.0,
        requests: 160,
        slots: 16,
    };
    assert!((14.0..=15.0).contains(&load.endpoints()), "{load:?}");
    let reads_more = Load {
        tokens_per_s: 1_280_000.0,
        ..load
    };
    assert!((24.0..=25.0).contains(&reads_more.endpoints()), "{load:?}");
}
