//! What load an engine's law makes of what is asked.
//!
//! Each pattern is named by what is heavy in it; its figures are those that such engines show: the time of a step in
//! milliseconds, the tokens that are read in one, and what callers ask in a second.

use engine::Law;
use fleet::{Bearing, Load, LoadParts};

/// Pauses of 600 ms for 7 tokens allow 86 ms a token; of answers, the longest of 95 in 100 have 950 tokens and
/// 11.4 s between their aim and their time-out.
const PACE_MS: f64 = 12.0;

/// Steps that grow from 3.1 to 9.6 ms as 64 requests run, much made beside much that is read.
const MUCH_MAKING_BESIDE_READING: Law = Law {
    base_ms: 3.09,
    per_running_ms: 0.102,
    per_read_ms: 1.0 / 56.9,
};
/// Steps that hardly grow with what runs: slots bind first.
const STEPS_THAT_HARDLY_GROW: Law = Law {
    base_ms: 2.97,
    per_running_ms: 0.0222,
    per_read_ms: 1.0 / 101.0,
};

/// Steps that do not grow with what runs, of engines with many slots: reading is most of the load.
const STEPS_THAT_DO_NOT_GROW: Law = Law {
    base_ms: 4.23,
    per_running_ms: 0.0008,
    per_read_ms: 1.0 / 64.2,
};

/// A load as gateways see it at so many endpoints, where `made` tokens are made and `read` ones read in a ms.
fn seen(law: Law, slots: u32, endpoints: u32, made: f64, read: f64) -> Load {
    let spread = f64::from(endpoints);
    let free = 1.0 - read * law.per_read_ms / spread - made * law.per_running_ms / spread;
    Load {
        tokens_per_s: read * 1000.0,
        requests: (made * law.base_ms / free).round() as u32,
        endpoints,
        slots,
        limited: 0.0,
        bearing: Bearing::Engine {
            law,
            pace_ms: PACE_MS,
        },
    }
}

fn parts(load: Load) -> LoadParts {
    load.parts().unwrap()
}

#[test]
fn what_is_read_and_what_is_made_add_up() {
    // 27.5 million prompt tokens in 52 s and 61 tokens made in a millisecond.
    let seen = parts(seen(MUCH_MAKING_BESIDE_READING, 64, 60, 61.0, 529.0));
    assert!((seen.reading - 9.3).abs() < 0.05, "{seen:?}");
    // At 35 running a step takes 6.66 ms, and 12 with what is read beside: 61 x 6.66 / 35 engines make the tokens.
    assert!((33..=37).contains(&seen.most_running), "{seen:?}");
    assert!((11.2..=12.0).contains(&seen.making), "{seen:?}");
}

#[test]
fn the_load_is_the_same_however_many_endpoints_it_is_spread_over() {
    let at = |endpoints| parts(seen(MUCH_MAKING_BESIDE_READING, 64, endpoints, 61.0, 529.0));
    let wide = at(60).endpoints();
    for endpoints in [24, 30, 45] {
        let near = at(endpoints).endpoints();
        assert!(
            (near / wide - 1.0).abs() < 0.03,
            "{endpoints}: {near} {wide}"
        );
    }
}

#[test]
fn where_steps_hardly_grow_the_slots_bind() {
    // 1.2 million prompt tokens read in a second, 99 tokens made in a millisecond.
    let seen = parts(seen(STEPS_THAT_HARDLY_GROW, 32, 60, 99.0, 1200.0));
    assert_eq!(seen.most_running, 32, "{seen:?}");
    assert!((23.0..=24.0).contains(&seen.endpoints()), "{seen:?}");
}

#[test]
fn where_steps_do_not_grow_reading_is_most_of_the_load() {
    // 450,000 prompt tokens read in a second, 40 tokens made in a millisecond; 64 requests share each step.
    // 730 tokens in 14 s allow 19 ms a token.
    let bearing = Bearing::Engine {
        law: STEPS_THAT_DO_NOT_GROW,
        pace_ms: 19.0,
    };
    let load = seen(STEPS_THAT_DO_NOT_GROW, 64, 40, 40.0, 450.0);
    let seen = parts(Load { bearing, ..load });
    assert_eq!(seen.most_running, 64, "{seen:?}");
    assert!((seen.reading - 7.0).abs() < 0.05, "{seen:?}");
    assert!((2.5..=2.8).contains(&seen.making), "{seen:?}");
}

#[test]
fn tighter_bounds_of_streams_ask_for_more_endpoints() {
    let load = seen(MUCH_MAKING_BESIDE_READING, 64, 60, 61.0, 529.0);
    let with = |pace_ms| {
        let bearing = Bearing::Engine {
            law: MUCH_MAKING_BESIDE_READING,
            pace_ms,
        };
        parts(Load { bearing, ..load })
    };
    assert_eq!(with(1000.0).most_running, 64);
    assert!(with(8.0).endpoints() > with(12.0).endpoints());
    assert!(with(12.0).endpoints() > with(1000.0).endpoints());
    // Bounds that no engine could hold do not ask for endless ones.
    assert_eq!(with(0.1).most_running, 8);
}

#[test]
fn while_nothing_is_known_of_the_engines_the_load_is_not_known() {
    let load = Load {
        tokens_per_s: 1000.0,
        requests: 10,
        endpoints: 4,
        slots: 16,
        limited: 0.0,
        bearing: Bearing::Unknown,
    };
    assert_eq!(load.parts(), None);
    // Nothing asked is no load, whatever the engines bear.
    let idle = Load {
        tokens_per_s: 0.0,
        requests: 0,
        ..load
    };
    assert_eq!(idle.parts().unwrap().endpoints(), 0.0);
}

#[test]
fn requests_that_hold_slots_of_plain_endpoints_are_a_load_before_all_are_taken() {
    let load = Load {
        tokens_per_s: 0.0,
        requests: 160,
        endpoints: 20,
        slots: 16,
        limited: 0.0,
        bearing: Bearing::Slots,
    };
    let endpoints = parts(load).endpoints();
    assert!((14.0..=15.0).contains(&endpoints), "{endpoints}");
}

// Guards against a plan that counts an endpoint under a limit as a whole one.
#[test]
fn what_limits_take_away_of_endpoints_is_needed_beside_a_load_and_not_without_one() {
    let load = Load {
        requests: 160,
        endpoints: 20,
        slots: 16,
        ..Load::default()
    };
    let limited = Load {
        limited: 1.5,
        ..load
    };
    let more = limited.needed().unwrap() - load.needed().unwrap();
    assert!((more - 1.5).abs() < 1e-9, "{more}");
    let idle = Load {
        requests: 0,
        ..limited
    };
    assert_eq!(idle.needed(), Some(0.0));
}
