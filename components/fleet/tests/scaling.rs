//! Tests the orders of the autoscaler.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Fleet, Held, Scaler, ScalingOrder, ScalingSpec};

fn spec() -> ScalingSpec {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    ScalingSpec {
        min_per_hall: 1,
        max_per_hall: 6,
        boot_time: Duration::from_secs(4),
        relative_reclaimable_price: Some(0.2),
        hall_prices: prices.iter().map(|(z, p)| (z.to_string(), *p)).collect(),
    }
}

fn held(list: &[(&str, u32, u32)]) -> BTreeMap<String, Held> {
    let held = |(hall, on_demand, reclaimable): &(&str, u32, u32)| {
        let held = Held {
            firm: *on_demand,
            reclaimable: *reclaimable,
        };
        (hall.to_string(), held)
    };
    list.iter().map(held).collect()
}

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn plan(scaler: &mut Scaler, now: u64, held: &Fleet, load: f64) -> Vec<ScalingOrder> {
    scaler.observe(at(now), held, load);
    scaler.plan(at(now), &spec())
}

fn apply_order(held: &mut Fleet, order: ScalingOrder) {
    let hall = held.entry(order.hall).or_default();
    match order.reclaimable {
        true => hall.reclaimable = order.count,
        false => hall.firm = order.count,
    }
}

/// Applies orders at once, except that orders of reclaimable endpoints in closed halls are refused.
fn run_with_closed_halls(
    scaler: &mut Scaler,
    held: &mut Fleet,
    load: f64,
    secs: (u64, u64),
    closed: &[&str],
) {
    for now in secs.0..secs.1 {
        for order in plan(scaler, now, held, load) {
            if order.reclaimable && closed.contains(&order.hall.as_str()) {
                scaler.refused(at(now), &order);
                continue;
            }
            scaler.accepted(&order);
            apply_order(held, order);
        }
    }
}

fn run(scaler: &mut Scaler, held: &mut Fleet, load: f64, secs: (u64, u64)) {
    run_with_closed_halls(scaler, held, load, secs, &[]);
}

fn totals(held: &BTreeMap<String, Held>) -> (u32, u32) {
    let on_demand = held.values().map(|h| h.firm).sum();
    (on_demand, held.values().map(|h| h.reclaimable).sum())
}

#[test]
fn reclaimable_endpoints_are_spread_so_that_two_halls_may_vanish() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 3, 0), ("b", 2, 0), ("c", 2, 0), ("d", 2, 0)]);
    run(&mut scaler, &mut held, 3.0, (0, 60));
    let (on_demand, reclaimable) = totals(&held);
    let each: Vec<u32> = held.values().map(|h| h.reclaimable).collect();
    assert!(each.iter().all(|count| *count == each[0]), "{held:?}");
    assert!(on_demand + reclaimable / 2 >= 5, "{held:?}");
    // Nine on-demand endpoints would cost 9.
    assert!(
        f64::from(on_demand) + 0.2 * f64::from(reclaimable) < 5.0,
        "{held:?}"
    );
}

#[test]
fn a_few_on_demand_endpoints_stay_however_cheap_reclaimable_ones_are() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 5, 0), ("b", 5, 0), ("c", 4, 0), ("d", 4, 0)]);
    run(&mut scaler, &mut held, 6.0, (0, 60));
    assert_eq!(totals(&held).0, 3, "{held:?}");
    // They are in the cheapest hall.
    assert_eq!(held["b"].firm, 3, "{held:?}");
}

#[test]
fn no_on_demand_endpoint_is_given_back_while_endpoints_still_register() {
    let mut scaler = Scaler::default();
    let mut registered = Fleet::new();
    for (now, hall) in ["a", "b", "c", "d"].iter().enumerate() {
        registered.insert(
            hall.to_string(),
            Held {
                firm: 4,
                reclaimable: 4,
            },
        );
        let orders = plan(&mut scaler, now as u64, &registered, 0.0);
        assert!(!gives_back_on_demand(&orders, &registered), "{orders:?}");
    }
}

fn gives_back_on_demand(orders: &[ScalingOrder], held: &Fleet) -> bool {
    let on_demand = |hall: &str| held.get(hall).map_or(0, |h| h.firm);
    let mut orders = orders.iter();
    orders.any(|o| !o.reclaimable && o.count < on_demand(&o.hall))
}

#[test]
fn no_on_demand_endpoint_is_given_back_before_reclaimable_ones_replace_it() {
    let mut scaler = Scaler::default();
    let start = held(&[("a", 2, 0), ("b", 2, 0), ("c", 1, 0), ("d", 1, 0)]);
    for now in 0..30 {
        let load = if now < 12 { 0.0 } else { 4.0 };
        let orders = plan(&mut scaler, now, &start, load);
        assert!(!gives_back_on_demand(&orders, &start), "{orders:?}");
    }
}

#[test]
fn endpoints_found_at_the_start_are_replaced_by_reclaimable_ones_before_any_load() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 3, 0), ("b", 2, 0), ("c", 2, 0), ("d", 2, 0)]);
    run(&mut scaler, &mut held, 0.0, (0, 20));
    let (on_demand, reclaimable) = totals(&held);
    assert!(on_demand + reclaimable >= 9 && on_demand <= 2, "{held:?}");
    // The reclaimable endpoints are not added to the baseline.
    run(&mut scaler, &mut held, 0.0, (20, 60));
    assert_eq!(totals(&held), (on_demand, reclaimable));
}

#[test]
fn on_demand_endpoints_replace_those_of_closed_halls() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    run(&mut scaler, &mut state, 5.0, (0, 60));
    state.values_mut().for_each(|held| held.reclaimable = 0);
    let all = ["a", "b", "c", "d"];
    run_with_closed_halls(&mut scaler, &mut state, 5.0, (60, 64), &all);
    let (on_demand, reclaimable) = totals(&state);
    assert_eq!(reclaimable, 0);
    // A load of 5 fully busy endpoints at a utilization of 0.82.
    assert!(on_demand >= 7, "{state:?}");
    // Once the halls are open, reclaimable endpoints replace the on-demand ones again.
    run(&mut scaler, &mut state, 5.0, (64, 120));
    let (on_demand, reclaimable) = totals(&state);
    assert!(on_demand <= 3 && reclaimable >= 8, "{state:?}");
}

#[test]
fn a_closed_hall_counts_as_empty_until_an_order_is_accepted_there() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    run(&mut scaler, &mut state, 5.0, (0, 60));
    for hall in ["c", "d"] {
        state.entry(hall.into()).or_default().reclaimable = 0;
    }
    run_with_closed_halls(&mut scaler, &mut state, 5.0, (60, 90), &["c", "d"]);
    let steady = totals(&state);
    // Probes of the closed halls change nothing else.
    for now in 90..110 {
        for order in plan(&mut scaler, now, &state, 5.0) {
            assert!(order.reclaimable && ["c", "d"].contains(&order.hall.as_str()));
            scaler.refused(at(now), &order);
        }
        assert_eq!(totals(&state), steady);
    }
}

#[test]
fn a_short_dip_of_the_load_gives_nothing_back() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 1, 0), ("d", 1, 0)]);
    run(&mut scaler, &mut state, 6.0, (0, 60));
    let steady = state.clone();
    run(&mut scaler, &mut state, 2.0, (60, 72));
    assert_eq!(state, steady);
}

#[test]
fn a_gateway_that_only_observed_plans_at_once() {
    let mut scaler = Scaler::default();
    let mut fleet = held(&[("a", 3, 4), ("b", 2, 4), ("c", 2, 4), ("d", 2, 4)]);
    for now in 0..20 {
        scaler.observe(at(now), &fleet, 3.0);
    }
    let orders = plan(&mut scaler, 20, &fleet, 3.0);
    assert!(gives_back_on_demand(&orders, &fleet), "{orders:?}");
    orders
        .into_iter()
        .for_each(|order| apply_order(&mut fleet, order));
    assert!(totals(&fleet).0 <= 3, "{fleet:?}");
}

#[test]
fn every_hall_keeps_its_minimum() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 1, 0), ("b", 1, 0), ("c", 1, 0), ("d", 1, 0)]);
    run(&mut scaler, &mut held, 0.1, (0, 60));
    assert!(
        held.values().all(|h| h.firm + h.reclaimable >= 1),
        "{held:?}"
    );
}

#[test]
fn a_large_fleet_without_reclaimable_endpoints_keeps_headroom() {
    let large_spec = ScalingSpec {
        max_per_hall: 46,
        relative_reclaimable_price: None,
        ..spec()
    };
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 9, 0), ("b", 9, 0), ("c", 9, 0), ("d", 9, 0)]);
    for now in 0..30 {
        scaler.observe(at(now), &state, 30.0);
        for order in scaler.plan(at(now), &large_spec) {
            apply_order(&mut state, order);
        }
    }
    let (on_demand, reclaimable) = totals(&state);
    assert_eq!(reclaimable, 0);
    assert!((48..=60).contains(&on_demand), "{on_demand}");
}

#[test]
fn no_on_demand_endpoint_is_given_back_while_a_hall_is_closed() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    run(&mut scaler, &mut state, 8.0, (0, 60));
    state.entry("d".into()).or_default().reclaimable = 0;
    run_with_closed_halls(&mut scaler, &mut state, 8.0, (60, 64), &["d"]);
    let before = state.clone();
    run_with_closed_halls(&mut scaler, &mut state, 2.0, (64, 100), &["d"]);
    assert_eq!(state, before);
}

#[test]
fn on_demand_endpoints_keep_headroom_once_all_halls_are_closed() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    run(&mut scaler, &mut state, 5.0, (0, 60));
    state.values_mut().for_each(|held| held.reclaimable = 0);
    run_with_closed_halls(
        &mut scaler,
        &mut state,
        5.0,
        (60, 64),
        &["a", "b", "c", "d"],
    );
    assert!(totals(&state).0 >= 8, "{state:?}");
}

#[test]
fn no_on_demand_endpoint_is_given_back_while_the_list_of_endpoints_is_stale() {
    let mut scaler = Scaler::default();
    let known = held(&[("a", 4, 4), ("b", 4, 4), ("c", 4, 4), ("d", 4, 4)]);
    scaler.observe_as_of(at(2), at(2), &known, 0.0);
    scaler.observe_as_of(at(5), at(2), &known, 0.0);
    assert!(!gives_back_on_demand(&scaler.plan(at(5), &spec()), &known));
    scaler.observe_as_of(at(6), at(6), &known, 0.0);
    assert!(gives_back_on_demand(&scaler.plan(at(6), &spec()), &known));
}

#[test]
fn no_on_demand_endpoint_is_ordered_in_halls_whose_endpoints_may_not_be_listed_yet() {
    let mut scaler = Scaler::default();
    let only_on_demand = ScalingSpec {
        relative_reclaimable_price: None,
        ..spec()
    };
    // The other halls also hold endpoints that are not listed yet: an order for one would give them
    // back.
    let known = held(&[("a", 3, 0)]);
    scaler.observe_as_of(at(2), at(2), &known, 0.0);
    scaler.observe_as_of(at(5), at(2), &known, 0.0);
    assert_eq!(scaler.plan(at(5), &only_on_demand), []);
    scaler.observe_as_of(at(6), at(6), &known, 0.0);
    assert_ne!(scaler.plan(at(6), &only_on_demand), []);
}

/// Each region holds what its own load requires, whatever the load of the other region.
#[test]
fn regions_with_loads_out_of_phase_are_planned_separately() {
    // Loads that oscillate around 8 with an amplitude of 42 percent and a period of 40 s, half a
    // period apart. The boot time is 4 s, so the peak load of the last 16 s counts.
    let load = |now: u64, phase: f64| {
        let turn = now as f64 / 40.0 + phase;
        8.0 * (1.0 + 0.42 * (turn * std::f64::consts::TAU).sin())
    };
    let mut regions: Vec<(Scaler, Fleet, f64)> = [0.0, 0.5]
        .into_iter()
        .map(|phase| {
            let start = held(&[("a", 5, 0), ("b", 5, 0), ("c", 5, 0), ("d", 5, 0)]);
            (Scaler::default(), start, phase)
        })
        .collect();
    for now in 0..200 {
        for (scaler, state, phase) in &mut regions {
            run(scaler, state, load(now, *phase), (now, now + 1));
            let (on_demand, reclaimable) = totals(state);
            let serving = f64::from(on_demand + reclaimable);
            assert!(serving * 0.7 >= load(now, *phase), "{now} {state:?}");
        }
    }
    // Summed up, the two loads cancel out, and planning for the sum would miss the peak of each
    // region.
    let sum = |now| load(now, 0.0) + load(now, 0.5);
    assert!((0..200).all(|now| (sum(now) - 16.0).abs() < 1e-6));
}

/// Two regions with a load of 9 each. Together they hold as much headroom for random variation as
/// one fleet for a load of 18. Each still carries its load when half of its halls lose their
/// reclaimable endpoints, which is three of the six halls of both.
#[test]
fn regions_that_share_headroom_hold_less_for_load_variation_and_as_much_for_a_loss() {
    let hold = |scaler: &mut Scaler| {
        let mut state = held(&[("a", 3, 7), ("b", 3, 7), ("c", 3, 7), ("d", 0, 0)]);
        run(scaler, &mut state, 9.0, (0, 120));
        state
    };
    let alone = hold(&mut Scaler::default());
    let sharing = hold(&mut Scaler::for_regions(2));
    let total = |state: &Fleet| totals(state).0 + totals(state).1;
    assert!(total(&sharing) < total(&alone), "{sharing:?} {alone:?}");
    assert!(f64::from(total(&sharing)) >= 9.0 / 0.5, "{sharing:?}");
    let mut reclaimable: Vec<u32> = sharing.values().map(|held| held.reclaimable).collect();
    reclaimable.sort_unstable();
    let left: u32 = reclaimable[..2].iter().sum();
    assert!(
        f64::from(left + totals(&sharing).0) * 0.9 >= 9.0,
        "{sharing:?}"
    );
}

#[test]
fn on_demand_endpoints_stay_while_the_capacity_of_an_endpoint_is_unknown() {
    let mut scaler = Scaler::default();
    let registered = held(&[("a", 15, 0), ("b", 15, 0), ("c", 15, 0), ("d", 15, 0)]);
    for now in 0..30 {
        scaler.observe_unknown_load(at(now), &registered);
        let orders = scaler.plan(at(now), &spec());
        assert!(!gives_back_on_demand(&orders, &registered), "{orders:?}");
    }
    assert!(scaler.scale_down_block_reason(at(30)).is_some());
}

#[test]
fn reclaimable_endpoints_stay_while_the_capacity_of_an_endpoint_is_unknown() {
    let mut scaler = Scaler::default();
    let registered = held(&[("a", 1, 6), ("b", 1, 6), ("c", 1, 6), ("d", 0, 6)]);
    for now in 0..30 {
        scaler.observe_unknown_load(at(now), &registered);
        let orders = scaler.plan(at(now), &spec());
        let is_lowered = orders.iter().any(|o| o.reclaimable && o.count < 6);
        assert!(!is_lowered, "{orders:?}");
    }
}

#[test]
fn a_large_surplus_is_given_back_in_steps_with_a_cooldown() {
    let large_spec = ScalingSpec {
        max_per_hall: 30,
        ..spec()
    };
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 3, 13), ("b", 3, 13), ("c", 3, 13), ("d", 3, 13)]);
    let total = |state: &Fleet| totals(state).0 + totals(state).1;
    let mut scaled_down_at: Option<u64> = None;
    for now in 0..60 {
        let before = total(&state);
        scaler.observe(at(now), &state, 4.0);
        for order in scaler.plan(at(now), &large_spec) {
            scaler.accepted(&order);
            apply_order(&mut state, order);
        }
        let after = total(&state);
        if after < before {
            assert!(
                f64::from(after) >= f64::from(before) * 0.7,
                "{now} {before} {after}"
            );
            assert!(scaled_down_at.is_none_or(|last| now >= last + 4), "{now}");
            scaled_down_at = Some(now);
        }
    }
    assert!(total(&state) <= 24, "{state:?}");
}

#[test]
fn a_growing_load_is_ordered_for_at_once_even_after_a_scale_down() {
    let large_spec = ScalingSpec {
        max_per_hall: 30,
        ..spec()
    };
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 3, 13), ("b", 3, 13), ("c", 3, 13), ("d", 3, 13)]);
    let total = |state: &Fleet| totals(state).0 + totals(state).1;
    let mut now = 0;
    while total(&state) == 64 {
        scaler.observe(at(now), &state, 4.0);
        for order in scaler.plan(at(now), &large_spec) {
            apply_order(&mut state, order);
        }
        now += 1;
        assert!(now < 30);
    }
    scaler.observe(at(now), &state, 40.0);
    for order in scaler.plan(at(now), &large_spec) {
        apply_order(&mut state, order);
    }
    assert!(total(&state) >= 80, "{state:?}");
}

#[test]
fn lost_endpoints_are_ordered_again_while_the_capacity_of_an_endpoint_is_unknown() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 2, 6), ("b", 2, 6), ("c", 1, 6), ("d", 1, 6)]);
    for now in 0..6 {
        scaler.observe_unknown_load(at(now), &state);
        for order in scaler.plan(at(now), &spec()) {
            apply_order(&mut state, order);
        }
    }
    let total = |state: &Fleet| totals(state).0 + totals(state).1;
    let before = total(&state);
    assert!(before <= 32, "{state:?}");
    for hall in ["c", "d"] {
        state.entry(hall.into()).or_default().reclaimable = 0;
    }
    for now in 6..16 {
        scaler.observe_unknown_load(at(now), &state);
        for order in scaler.plan(at(now), &spec()) {
            if order.reclaimable && ["c", "d"].contains(&order.hall.as_str()) {
                scaler.refused(at(now), &order);
                continue;
            }
            scaler.accepted(&order);
            apply_order(&mut state, order);
        }
    }
    // 12 reclaimable endpoints are left: on-demand ones replace most of the lost ones.
    assert!(total(&state) >= 18 && totals(&state).0 > 6, "{state:?}");
}

/// A fleet of thousands with `each` reclaimable endpoints per hall.
fn fleet_of_thousands(each: u32) -> Fleet {
    held(&["a", "b", "c", "d"].map(|hall| (hall, 1, each)))
}

fn spec_for_thousands() -> ScalingSpec {
    ScalingSpec {
        max_per_hall: 5_000,
        ..spec()
    }
}

/// Number of endpoints held after a constant load for `secs` seconds, with orders applied at once.
fn endpoints_held_after(secs: u64, each: u32, load: f64) -> u32 {
    let mut scaler = Scaler::default();
    let mut held = fleet_of_thousands(each);
    for now in 0..=secs {
        scaler.observe(at(now), &held, load);
        for order in scaler.plan(at(now), &spec_for_thousands()) {
            scaler.accepted(&order);
            apply_order(&mut held, order);
        }
    }
    let (on_demand, reclaimable) = totals(&held);
    on_demand + reclaimable
}

#[test]
fn nearly_all_of_thousands_are_given_back_at_once_at_a_load_of_a_hundred() {
    // Giving back a quarter in one step would leave thousands.
    let left = endpoints_held_after(5, 2_500, 100.0);
    assert!(left < 800, "{left}");
    // The fleet still carries twice the load.
    assert!(left > 400, "{left}");
}

#[test]
fn half_of_a_fleet_of_a_hundred_is_given_back_in_steps() {
    let left = endpoints_held_after(5, 25, 30.0);
    assert!(left >= 75, "{left}");
}

#[test]
fn a_load_underestimated_by_half_still_fits_after_a_scale_down() {
    let (seen, load) = (100.0, 200.0);
    let left = endpoints_held_after(5, 2_500, seen);
    assert!(f64::from(left) > 1.5 * load, "{left}");
}
