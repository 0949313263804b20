//! What is ordered where.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Fleet, Held, Offer, Scaler, ScalingOrder};

fn offer() -> Offer {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    Offer {
        least: 1,
        most: 6,
        boot: Duration::from_secs(4),
        reclaimable_price: Some(0.2),
        hall_prices: prices.iter().map(|(z, p)| (z.to_string(), *p)).collect(),
    }
}

fn held(list: &[(&str, u32, u32)]) -> BTreeMap<String, Held> {
    let held = |(hall, firm, reclaimable): &(&str, u32, u32)| {
        let held = Held {
            firm: *firm,
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
    scaler.plan(at(now), &offer())
}

fn carry_out(held: &mut Fleet, order: ScalingOrder) {
    let hall = held.entry(order.hall).or_default();
    match order.reclaimable {
        true => hall.reclaimable = order.count,
        false => hall.firm = order.count,
    }
}

/// Carries orders out at once, but for reclaimable ones in closed halls, which are refused.
fn settle_with_closed(
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
            carry_out(held, order);
        }
    }
}

fn settle(scaler: &mut Scaler, held: &mut Fleet, load: f64, secs: (u64, u64)) {
    settle_with_closed(scaler, held, load, secs, &[]);
}

fn sums(held: &BTreeMap<String, Held>) -> (u32, u32) {
    let firm = held.values().map(|h| h.firm).sum();
    (firm, held.values().map(|h| h.reclaimable).sum())
}

#[test]
fn reclaimable_ones_are_spread_so_that_two_halls_may_vanish() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 3, 0), ("b", 2, 0), ("c", 2, 0), ("d", 2, 0)]);
    settle(&mut scaler, &mut held, 3.0, (0, 60));
    let (firm, reclaimable) = sums(&held);
    let each: Vec<u32> = held.values().map(|h| h.reclaimable).collect();
    assert!(each.iter().all(|count| *count == each[0]), "{held:?}");
    assert!(firm + reclaimable / 2 >= 5, "{held:?}");
    // Nine on-demand ones would cost 9.
    assert!(
        f64::from(firm) + 0.2 * f64::from(reclaimable) < 5.0,
        "{held:?}"
    );
}

#[test]
fn a_few_on_demand_ones_stay_however_cheap_the_others_are() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 5, 0), ("b", 5, 0), ("c", 4, 0), ("d", 4, 0)]);
    settle(&mut scaler, &mut held, 6.0, (0, 60));
    assert_eq!(sums(&held).0, 3, "{held:?}");
    // The cheapest hall has them.
    assert_eq!(held["b"].firm, 3, "{held:?}");
}

#[test]
fn nothing_on_demand_is_given_back_while_endpoints_still_record_themselves() {
    let mut scaler = Scaler::default();
    let mut found = Fleet::new();
    for (now, hall) in ["a", "b", "c", "d"].iter().enumerate() {
        found.insert(
            hall.to_string(),
            Held {
                firm: 4,
                reclaimable: 4,
            },
        );
        let orders = plan(&mut scaler, now as u64, &found, 0.0);
        assert!(!lowers(&orders, &found), "{orders:?}");
    }
}

fn lowers(orders: &[ScalingOrder], held: &Fleet) -> bool {
    let firm = |hall: &str| held.get(hall).map_or(0, |h| h.firm);
    let mut orders = orders.iter();
    orders.any(|o| !o.reclaimable && o.count < firm(&o.hall))
}

#[test]
fn nothing_is_given_back_before_reclaimable_ones_serve_in_its_place() {
    let mut scaler = Scaler::default();
    let start = held(&[("a", 2, 0), ("b", 2, 0), ("c", 1, 0), ("d", 1, 0)]);
    for now in 0..30 {
        let load = if now < 12 { 0.0 } else { 4.0 };
        let orders = plan(&mut scaler, now, &start, load);
        assert!(!lowers(&orders, &start), "{orders:?}");
    }
}

#[test]
fn what_is_found_is_replaced_by_reclaimable_ones_before_any_load() {
    let mut scaler = Scaler::default();
    let mut held = held(&[("a", 3, 0), ("b", 2, 0), ("c", 2, 0), ("d", 2, 0)]);
    settle(&mut scaler, &mut held, 0.0, (0, 20));
    let (firm, reclaimable) = sums(&held);
    assert!(firm + reclaimable >= 9 && firm <= 2, "{held:?}");
    // The reclaimable ones do not count as found in turn.
    settle(&mut scaler, &mut held, 0.0, (20, 60));
    assert_eq!(sums(&held), (firm, reclaimable));
}

#[test]
fn on_demand_ones_take_the_place_of_halls_that_are_closed() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    settle(&mut scaler, &mut state, 5.0, (0, 60));
    state.values_mut().for_each(|held| held.reclaimable = 0);
    let all = ["a", "b", "c", "d"];
    settle_with_closed(&mut scaler, &mut state, 5.0, (60, 64), &all);
    let (firm, reclaimable) = sums(&state);
    assert_eq!(reclaimable, 0);
    // 5 endpoints that would be busy all the time, used at 0.82.
    assert!(firm >= 7, "{state:?}");
    // Once the halls are open, the reclaimable ones come back and the others go.
    settle(&mut scaler, &mut state, 5.0, (64, 120));
    let (firm, reclaimable) = sums(&state);
    assert!(firm <= 3 && reclaimable >= 8, "{state:?}");
}

#[test]
fn a_closed_hall_counts_as_empty_until_an_order_is_taken_there() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    settle(&mut scaler, &mut state, 5.0, (0, 60));
    for hall in ["c", "d"] {
        state.entry(hall.into()).or_default().reclaimable = 0;
    }
    settle_with_closed(&mut scaler, &mut state, 5.0, (60, 90), &["c", "d"]);
    let steady = sums(&state);
    // Looks at the closed halls change nothing else.
    for now in 90..110 {
        for order in plan(&mut scaler, now, &state, 5.0) {
            assert!(order.reclaimable && ["c", "d"].contains(&order.hall.as_str()));
            scaler.refused(at(now), &order);
        }
        assert_eq!(sums(&state), steady);
    }
}

#[test]
fn a_load_that_dips_for_a_moment_gives_nothing_back() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 1, 0), ("d", 1, 0)]);
    settle(&mut scaler, &mut state, 6.0, (0, 60));
    let steady = state.clone();
    settle(&mut scaler, &mut state, 2.0, (60, 72));
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
    assert!(lowers(&orders, &fleet), "{orders:?}");
    orders
        .into_iter()
        .for_each(|order| carry_out(&mut fleet, order));
    assert!(sums(&fleet).0 <= 3, "{fleet:?}");
}

#[test]
fn every_hall_keeps_its_least() {
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
        reclaimable_price: None,
        ..offer()
    };
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 9, 0), ("b", 9, 0), ("c", 9, 0), ("d", 9, 0)]);
    for now in 0..30 {
        scaler.observe(at(now), &state, 30.0);
        for order in scaler.plan(at(now), &offer) {
            carry_out(&mut state, order);
        }
    }
    let (firm, reclaimable) = sums(&state);
    assert_eq!(reclaimable, 0);
    assert!((48..=60).contains(&firm), "{firm}");
}

#[test]
fn nothing_on_demand_is_given_back_while_a_hall_is_closed() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    settle(&mut scaler, &mut state, 8.0, (0, 60));
    state.entry("d".into()).or_default().reclaimable = 0;
    settle_with_closed(&mut scaler, &mut state, 8.0, (60, 64), &["d"]);
    let before = state.clone();
    settle_with_closed(&mut scaler, &mut state, 2.0, (64, 100), &["d"]);
    assert_eq!(state, before);
}

#[test]
fn once_all_halls_are_closed_the_on_demand_ones_are_not_used_to_their_limit() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 1, 0), ("b", 1, 0), ("c", 0, 0), ("d", 0, 0)]);
    settle(&mut scaler, &mut state, 5.0, (0, 60));
    state.values_mut().for_each(|held| held.reclaimable = 0);
    settle_with_closed(
        &mut scaler,
        &mut state,
        5.0,
        (60, 64),
        &["a", "b", "c", "d"],
    );
    assert!(sums(&state).0 >= 8, "{state:?}");
}

#[test]
fn nothing_on_demand_is_given_back_while_the_list_of_endpoints_is_old() {
    let mut scaler = Scaler::default();
    let known = held(&[("a", 4, 4), ("b", 4, 4), ("c", 4, 4), ("d", 4, 4)]);
    scaler.observe_as_of(at(2), at(2), &known, 0.0);
    scaler.observe_as_of(at(5), at(2), &known, 0.0);
    assert!(!lowers(&scaler.plan(at(5), &offer()), &known));
    scaler.observe_as_of(at(6), at(6), &known, 0.0);
    assert!(lowers(&scaler.plan(at(6), &offer()), &known));
}

#[test]
fn nothing_on_demand_is_ordered_in_halls_whose_endpoints_may_not_be_listed_yet() {
    let mut scaler = Scaler::default();
    let only_on_demand = Offer {
        reclaimable_price: None,
        ..offer()
    };
    // The other halls hold some too: an order of one would give those back.
    let known = held(&[("a", 3, 0)]);
    scaler.observe_as_of(at(2), at(2), &known, 0.0);
    scaler.observe_as_of(at(5), at(2), &known, 0.0);
    assert_eq!(scaler.plan(at(5), &only_on_demand), []);
    scaler.observe_as_of(at(6), at(6), &known, 0.0);
    assert_ne!(scaler.plan(at(6), &only_on_demand), []);
}

/// One region's halls hold what its own wave asks for, whatever the other region's wave does.
#[test]
fn regions_whose_waves_are_out_of_step_are_planned_by_themselves() {
    // Waves of 0.42 about 8 with a period of 40 s, half a period apart; a boot takes 4 s, so the highest load of the
    // last 16 s counts.
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
            settle(scaler, state, load(now, *phase), (now, now + 1));
            let (firm, reclaimable) = sums(state);
            let serving = f64::from(firm + reclaimable);
            assert!(serving * 0.7 >= load(now, *phase), "{now} {state:?}");
        }
    }
    // Seen as one service, the two waves cancel out and the peak of each region would be missed.
    let sum = |now| load(now, 0.0) + load(now, 0.5);
    assert!((0..200).all(|now| (sum(now) - 16.0).abs() < 1e-6));
}

/// Two regions with a load of 9 each: what both hold for scatter is what one fleet of 18 would, and each still carries
/// its load when half of its halls vanish, which is three of the six of both.
#[test]
fn regions_that_lend_each_other_room_hold_less_for_scatter_and_as_much_for_a_loss() {
    let hold = |scaler: &mut Scaler| {
        let mut state = held(&[("a", 3, 7), ("b", 3, 7), ("c", 3, 7), ("d", 0, 0)]);
        settle(scaler, &mut state, 9.0, (0, 120));
        state
    };
    let alone = hold(&mut Scaler::default());
    let lending = hold(&mut Scaler::among(2));
    let total = |state: &Fleet| sums(state).0 + sums(state).1;
    assert!(total(&lending) < total(&alone), "{lending:?} {alone:?}");
    assert!(f64::from(total(&lending)) >= 9.0 / 0.5, "{lending:?}");
    let mut reclaimable: Vec<u32> = lending.values().map(|held| held.reclaimable).collect();
    reclaimable.sort_unstable();
    let left: u32 = reclaimable[..2].iter().sum();
    assert!(
        f64::from(left + sums(&lending).0) * 0.9 >= 9.0,
        "{lending:?}"
    );
}

#[test]
fn what_is_held_stays_while_it_is_not_known_what_an_endpoint_bears() {
    let mut scaler = Scaler::default();
    let found = held(&[("a", 15, 0), ("b", 15, 0), ("c", 15, 0), ("d", 15, 0)]);
    for now in 0..30 {
        scaler.observe_unknown(at(now), &found);
        let orders = scaler.plan(at(now), &offer());
        assert!(!lowers(&orders, &found), "{orders:?}");
    }
    assert!(scaler.keeps(at(30)).is_some());
}

#[test]
fn reclaimable_ones_stay_too_while_it_is_not_known_what_an_endpoint_bears() {
    let mut scaler = Scaler::default();
    let found = held(&[("a", 1, 6), ("b", 1, 6), ("c", 1, 6), ("d", 0, 6)]);
    for now in 0..30 {
        scaler.observe_unknown(at(now), &found);
        let orders = scaler.plan(at(now), &offer());
        let lowered = orders.iter().any(|o| o.reclaimable && o.count < 6);
        assert!(!lowered, "{orders:?}");
    }
}

#[test]
fn much_that_is_not_needed_is_given_back_in_steps_that_show_their_effect() {
    let many = Offer {
        most: 30,
        ..offer()
    };
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 3, 13), ("b", 3, 13), ("c", 3, 13), ("d", 3, 13)]);
    let total = |state: &Fleet| sums(state).0 + sums(state).1;
    let mut lowered_at: Option<u64> = None;
    for now in 0..60 {
        let before = total(&state);
        scaler.observe(at(now), &state, 4.0);
        for order in scaler.plan(at(now), &many) {
            scaler.accepted(&order);
            carry_out(&mut state, order);
        }
        let after = total(&state);
        if after < before {
            assert!(
                f64::from(after) >= f64::from(before) * 0.7,
                "{now} {before} {after}"
            );
            assert!(lowered_at.is_none_or(|last| now >= last + 4), "{now}");
            lowered_at = Some(now);
        }
    }
    assert!(total(&state) <= 24, "{state:?}");
}

#[test]
fn a_load_that_grows_is_ordered_for_at_once_though_some_were_just_given_back() {
    let many = Offer {
        most: 30,
        ..offer()
    };
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 3, 13), ("b", 3, 13), ("c", 3, 13), ("d", 3, 13)]);
    let total = |state: &Fleet| sums(state).0 + sums(state).1;
    let mut now = 0;
    while total(&state) == 64 {
        scaler.observe(at(now), &state, 4.0);
        for order in scaler.plan(at(now), &many) {
            carry_out(&mut state, order);
        }
        now += 1;
        assert!(now < 30);
    }
    scaler.observe(at(now), &state, 40.0);
    for order in scaler.plan(at(now), &many) {
        carry_out(&mut state, order);
    }
    assert!(total(&state) >= 80, "{state:?}");
}

#[test]
fn what_is_lost_is_ordered_again_though_it_is_not_known_what_an_endpoint_bears() {
    let mut scaler = Scaler::default();
    let mut state = held(&[("a", 2, 6), ("b", 2, 6), ("c", 1, 6), ("d", 1, 6)]);
    for now in 0..6 {
        scaler.observe_unknown(at(now), &state);
        for order in scaler.plan(at(now), &offer()) {
            carry_out(&mut state, order);
        }
    }
    let total = |state: &Fleet| sums(state).0 + sums(state).1;
    let before = total(&state);
    assert!(before <= 32, "{state:?}");
    for hall in ["c", "d"] {
        state.entry(hall.into()).or_default().reclaimable = 0;
    }
    for now in 6..16 {
        scaler.observe_unknown(at(now), &state);
        for order in scaler.plan(at(now), &offer()) {
            if order.reclaimable && ["c", "d"].contains(&order.hall.as_str()) {
                scaler.refused(at(now), &order);
                continue;
            }
            scaler.accepted(&order);
            carry_out(&mut state, order);
        }
    }
    // 12 reclaimable ones are left: on-demand ones take the place of most that were lost.
    assert!(total(&state) >= 18 && sums(&state).0 > 6, "{state:?}");
}

/// Halls of a fleet of thousands, each with so many reclaimable endpoints.
fn thousands(each: u32) -> Fleet {
    held(&["a", "b", "c", "d"].map(|hall| (hall, 1, each)))
}

fn offer_of_thousands() -> Offer {
    Offer {
        most: 5_000,
        ..offer()
    }
}

/// Endpoints that are held once a load was seen for as long as it has to be, carried out at once.
fn held_after(secs: u64, each: u32, load: f64) -> u32 {
    let mut scaler = Scaler::default();
    let mut held = thousands(each);
    for now in 0..=secs {
        scaler.observe(at(now), &held, load);
        for order in scaler.plan(at(now), &offer_of_thousands()) {
            scaler.accepted(&order);
            carry_out(&mut held, order);
        }
    }
    let (firm, reclaimable) = sums(&held);
    firm + reclaimable
}

#[test]
fn of_thousands_found_beside_a_load_of_a_hundred_nearly_all_are_given_back_at_once() {
    // A step of a quarter would leave thousands.
    let left = held_after(5, 2_500, 100.0);
    assert!(left < 800, "{left}");
    // What would carry the load if it were twice as high is still there.
    assert!(left > 400, "{left}");
}

#[test]
fn half_of_a_fleet_of_a_hundred_is_given_back_in_steps() {
    let left = held_after(5, 25, 30.0);
    assert!(left >= 75, "{left}");
}

#[test]
fn a_load_that_was_taken_for_half_of_what_it_is_still_finds_room() {
    let (seen, load) = (100.0, 200.0);
    let left = held_after(5, 2_500, seen);
    assert!(f64::from(left) > 1.5 * load, "{left}");
}
