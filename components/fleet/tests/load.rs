//! Tests the load computed from the step time of engines. The patterns are named after their
//! dominant part. The figures are typical of such engines: step time in milliseconds, prompt tokens
//! read per step, and requests per second.

use engine::Law;
use fleet::{Bearing, Load, LoadParts};

/// Pauses of 600 ms for 7 tokens allow 86 ms per token. Whole answers are the tighter bound: the
/// 95th percentile of their length is 950 tokens, with 11.4 s between their target latency and
/// their time-out, which allows 12 ms per token.
const PACE_MS: f64 = 12.0;

/// Step time grows from 3.1 to 9.6 ms with 64 running requests; both decode and prefill are heavy.
const HEAVY_DECODE_AND_PREFILL: Law = Law {
    base_ms: 3.09,
    per_running_ms: 0.102,
    per_read_ms: 1.0 / 56.9,
};
/// Step time hardly grows with the running requests, so the slots are the limit.
const NEARLY_CONSTANT_STEP_TIME: Law = Law {
    base_ms: 2.97,
    per_running_ms: 0.0222,
    per_read_ms: 1.0 / 101.0,
};

/// Step time does not grow with the running requests, and engines have many slots, so prefill is
/// most of the load.
const CONSTANT_STEP_TIME: Law = Law {
    base_ms: 4.23,
    per_running_ms: 0.0008,
    per_read_ms: 1.0 / 64.2,
};

/// The load that gateways observe at `endpoints` endpoints when `generated` tokens are generated
/// and `read` prompt tokens are read per millisecond.
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
    // 27.5 million prompt tokens in 52 s, and 61 tokens generated per millisecond.
    let computed = parts(observed_load(HEAVY_DECODE_AND_PREFILL, 64, 60, 61.0, 529.0));
    assert!((computed.prefill - 9.3).abs() < 0.05, "{computed:?}");
    // With 35 running requests a step takes 6.66 ms without prefill, and a token takes 12 ms with
    // it. Generating the tokens takes 61 x 6.66 / 35 engines.
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
    // 1.2 million prompt tokens read per second, 99 tokens generated per millisecond.
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
    // 450,000 prompt tokens read per second, 40 tokens generated per millisecond; 64 requests share
    // each step. 730 tokens in 14 s allow 19 ms per token.
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
    // Bounds that no engine can meet do not require an unlimited number of endpoints.
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
    // Without demand the load is zero, whatever the capacity of the engines.
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

// Guards against a plan that counts an endpoint with a rate limit as a whole one.
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
