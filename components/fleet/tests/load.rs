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
const HEAVY_DECODE_AND_PREFILL: Law = Law {
    base_ms: 3.09,
    per_running_ms: 0.102,
    per_read_ms: 1.0 / 56.9,
};
/// Steps that hardly grow with what runs: slots bind first.
const NEARLY_CONSTANT_STEP_TIME: Law = Law {
    base_ms: 2.97,
    per_running_ms: 0.0222,
    per_read_ms: 1.0 / 101.0,
};

/// Steps that do not grow with what runs, of engines with many slots: reading is most of the load.
const CONSTANT_STEP_TIME: Law = Law {
    base_ms: 4.23,
    per_running_ms: 0.0008,
    per_read_ms: 1.0 / 64.2,
};

/// A load as gateways see it at so many endpoints, where `made` tokens are made and `read` ones read in a ms.
fn observed_load(law: Law, slots: u32, endpoints: u32, generated: f64, read: f64) -> Load {
    let endpoint_count = f64::from(endpoints);
    let free = 1.0
        - read * law.per_read_ms / endpoint_count
        - generated * law.per_running_ms / endpoint_count;
    Load {
        prompt_tokens_per_s: read * 1000.0,
        requests: (generated * law.base_ms / free).round() as u32,
        endpoints,
        slots,
        limited_endpoints: 0.0,
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
fn prefill_and_decode_load_add_up() {
    // 27.5 million prompt tokens in 52 s and 61 tokens made in a millisecond.
    let computed = parts(observed_load(HEAVY_DECODE_AND_PREFILL, 64, 60, 61.0, 529.0));
    assert!((computed.prefill - 9.3).abs() < 0.05, "{computed:?}");
    // At 35 running a step takes 6.66 ms, and 12 with what is read beside: 61 x 6.66 / 35 engines make the tokens.
    assert!((33..=37).contains(&computed.max_running), "{computed:?}");
    assert!((11.2..=12.0).contains(&computed.decode), "{computed:?}");
}

#[test]
fn the_load_does_not_depend_on_the_number_of_endpoints() {
    let at = |endpoints| {
        parts(observed_load(
            HEAVY_DECODE_AND_PREFILL,
            64,
            endpoints,
            61.0,
            529.0,
        ))
    };
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
fn slots_are_the_limit_where_the_step_time_hardly_grows() {
    // 1.2 million prompt tokens read in a second, 99 tokens made in a millisecond.
    let computed = parts(observed_load(
        NEARLY_CONSTANT_STEP_TIME,
        32,
        60,
        99.0,
        1200.0,
    ));
    assert_eq!(computed.max_running, 32, "{computed:?}");
    assert!(
        (23.0..=24.0).contains(&computed.endpoints()),
        "{computed:?}"
    );
}

#[test]
fn prefill_is_most_of_the_load_where_the_step_time_does_not_grow() {
    // 450,000 prompt tokens read in a second, 40 tokens made in a millisecond; 64 requests share each step.
    // 730 tokens in 14 s allow 19 ms a token.
    let bearing = Bearing::Engine {
        law: CONSTANT_STEP_TIME,
        pace_ms: 19.0,
    };
    let load = observed_load(CONSTANT_STEP_TIME, 64, 40, 40.0, 450.0);
    let computed = parts(Load { bearing, ..load });
    assert_eq!(computed.max_running, 64, "{computed:?}");
    assert!((computed.prefill - 7.0).abs() < 0.05, "{computed:?}");
    assert!((2.5..=2.8).contains(&computed.decode), "{computed:?}");
}

#[test]
fn tighter_stream_bounds_require_more_endpoints() {
    let load = observed_load(HEAVY_DECODE_AND_PREFILL, 64, 60, 61.0, 529.0);
    let with = |pace_ms| {
        let bearing = Bearing::Engine {
            law: HEAVY_DECODE_AND_PREFILL,
            pace_ms,
        };
        parts(Load { bearing, ..load })
    };
    assert_eq!(with(1000.0).max_running, 64);
    assert!(with(8.0).endpoints() > with(12.0).endpoints());
    assert!(with(12.0).endpoints() > with(1000.0).endpoints());
    // Bounds that no engine could hold do not ask for endless ones.
    assert_eq!(with(0.1).max_running, 8);
}

#[test]
fn the_load_is_unknown_while_the_engines_are_unknown() {
    let load = Load {
        prompt_tokens_per_s: 1000.0,
        requests: 10,
        endpoints: 4,
        slots: 16,
        limited_endpoints: 0.0,
        bearing: Bearing::Unknown,
    };
    assert_eq!(load.parts(), None);
    // Nothing asked is no load, whatever the engines bear.
    let idle = Load {
        prompt_tokens_per_s: 0.0,
        requests: 0,
        ..load
    };
    assert_eq!(idle.parts().unwrap().endpoints(), 0.0);
}

#[test]
fn requests_at_slot_limited_endpoints_are_a_load_before_all_slots_are_taken() {
    let load = Load {
        prompt_tokens_per_s: 0.0,
        requests: 160,
        endpoints: 20,
        slots: 16,
        limited_endpoints: 0.0,
        bearing: Bearing::Slots,
    };
    let endpoints = parts(load).endpoints();
    assert!((14.0..=15.0).contains(&endpoints), "{endpoints}");
}

// Guards against a plan that counts an endpoint under a limit as a whole one.
#[test]
fn capacity_lost_to_rate_limits_is_added_to_a_load_but_not_without_one() {
    let load = Load {
        requests: 160,
        endpoints: 20,
        slots: 16,
        ..Load::default()
    };
    let limited = Load {
        limited_endpoints: 1.5,
        ..load
    };
    let more = limited.endpoints_needed().unwrap() - load.endpoints_needed().unwrap();
    assert!((more - 1.5).abs() < 1e-9, "{more}");
    let idle = Load {
        requests: 0,
        ..limited
    };
    assert_eq!(idle.endpoints_needed(), Some(0.0));
}
