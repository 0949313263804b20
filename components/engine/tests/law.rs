//! Tests the estimate of the law of engines from samples.

use std::time::Duration;

use engine::{EngineStats, Law, LawEstimate, Learner, PaceHistogram, Sample, StepMoments};
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Steps of a part of a stream with 32 events of 7 tokens.
const STEPS_PER_SAMPLE: f64 = 224.0;

// Engines whose step time grows strongly, weakly and moderately with the running requests. They
// read 50 to 150 prompt tokens per millisecond.
const LAWS: [Law; 3] = [
    Law {
        base_ms: 3.1,
        per_running_ms: 0.1,
        per_read_ms: 0.0176,
    },
    Law {
        base_ms: 3.0,
        per_running_ms: 0.022,
        per_read_ms: 0.0099,
    },
    Law {
        base_ms: 4.2,
        per_running_ms: 0.06,
        per_read_ms: 0.0067,
    },
];

/// A sample with random load and uniform noise of up to 17 percent, which is a standard deviation
/// of about a tenth.
fn sample(rng: &mut ChaCha8Rng, law: &Law, max_running: f64) -> Sample {
    let running = rng.random_range(1.0..max_running);
    let read_tokens = rng.random_range(0.0..300.0);
    let noise = rng.random_range(0.83..1.17);
    Sample {
        step_ms: law.step_with_prefill_ms(running, read_tokens) * noise,
        running,
        read_tokens,
    }
}

fn at_ms(i: u32) -> Duration {
    Duration::from_millis(u64::from(i))
}

fn is_near(law: &Law, known: &Law) -> bool {
    let near = |a: f64, b: f64| (a / b - 1.0).abs() < 0.1;
    let at_count = |running| near(known.decode_step_ms(running), law.decode_step_ms(running));
    near(known.base_ms, law.base_ms)
        && near(known.per_read_ms, law.per_read_ms)
        && [4.0, 16.0, 32.0, 64.0].into_iter().all(at_count)
}

fn recovers(seed: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    LAWS.iter().all(|law| {
        let mut learner = Learner::default();
        for i in 0..2000 {
            learner.add_sample(at_ms(i), sample(&mut rng, law, 32.0));
        }
        let known = learner.stats().estimate().confident_law();
        known.is_some_and(|known| is_near(law, &known))
    })
}

fn estimate_resists_outliers(seed: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    LAWS.iter().all(|law| {
        let mut learner = Learner::default();
        for i in 0..2000 {
            let mut observed = sample(&mut rng, law, 32.0);
            // One stream in twenty runs beside a prompt of 15,000 tokens that the gateway does not
            // know of.
            if rng.random_bool(0.05) {
                observed.step_ms += 15_000.0 * law.per_read_ms / STEPS_PER_SAMPLE;
            }
            learner.add_sample(at_ms(i), observed);
        }
        let known = learner.stats().estimate().confident_law();
        known.is_some_and(|known| is_near(law, &known))
    })
}

fn merged_moments_equal_all(seed: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all = EngineStats::default();
    let mut parts = [EngineStats::default(); 5];
    for i in 0..400 {
        let observed = sample(&mut rng, &LAWS[0], 40.0);
        let allowed = rng.random_range(1.0..200.0);
        for stats in [&mut all, &mut parts[i % 5]] {
            stats.steps.add(&observed);
            stats.allowed_paces.add(allowed);
        }
    }
    let mut merged = EngineStats::default();
    parts.iter().for_each(|part| merged.merge(part));
    let pairs = merged.steps.values().into_iter().zip(all.steps.values());
    pairs
        .into_iter()
        .all(|(a, b)| (a - b).abs() <= 1e-9 * b.abs())
        && merged.allowed_paces == all.allowed_paces
}

quickcheck! {
    fn the_law_is_recovered_within_a_tenth_from_noisy_samples(seed: u64) -> bool {
        recovers(seed)
    }

    fn unknown_long_prompts_do_not_change_the_estimate(seed: u64) -> bool {
        estimate_resists_outliers(seed)
    }

    fn merged_moments_of_several_gateways_equal_those_of_one_that_observed_all(seed: u64) -> bool {
        merged_moments_equal_all(seed)
    }
}

#[test]
fn a_burst_of_outliers_is_clipped_once_the_law_is_known() {
    let law = LAWS[0];
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut learner = Learner::default();
    for i in 0..1000 {
        learner.add_sample(at_ms(i), sample(&mut rng, &law, 32.0));
    }
    // Callers that do not read their streams make steps look ten times as long.
    for i in 1000..1030 {
        let mut observed = sample(&mut rng, &law, 32.0);
        observed.step_ms *= 10.0;
        learner.add_sample(at_ms(i), observed);
    }
    let known = learner.stats().estimate().confident_law().unwrap();
    assert!(is_near(&law, &known), "{known:?}");
}

#[test]
fn the_law_is_not_known_from_a_single_number_of_running_requests() {
    let law = LAWS[0];
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut moments = StepMoments::default();
    for _ in 0..200 {
        let mut observed = sample(&mut rng, &law, 32.0);
        observed.running = 12.0;
        observed.step_ms =
            law.step_with_prefill_ms(12.0, observed.read_tokens) * rng.random_range(0.85..1.15);
        moments.add(&observed);
    }
    let estimate = LawEstimate::from_moments(&moments);
    assert_eq!(estimate.confident_law(), None, "{estimate:?}");
    // The step time at the observed load is still estimated well.
    let step = estimate.law.decode_step_ms(12.0);
    assert!(
        (step / law.decode_step_ms(12.0) - 1.0).abs() < 0.1,
        "{step}"
    );
}

#[test]
fn without_samples_the_law_is_the_prior_and_not_known() {
    let estimate = LawEstimate::from_moments(&StepMoments::default());
    assert_eq!(estimate.confident_law(), None);
    assert!(estimate.law.base_ms > 0.0 && estimate.law.per_read_ms > 0.0);
}

/// Guards against invalid samples. A gateway produced them when its list of endpoints was reloaded
/// in the middle of a stream.
#[test]
fn invalid_samples_are_ignored() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut learner = Learner::default();
    for i in 0..2000 {
        learner.add_sample(at_ms(i), sample(&mut rng, &LAWS[0], 24.0));
    }
    assert!(learner.stats().estimate().confident_law().is_some());
    let before = *learner.stats();
    let valid_sample = sample(&mut rng, &LAWS[0], 24.0);
    for read_tokens in [-5000.0, f64::NAN, f64::INFINITY] {
        let sample = Sample {
            read_tokens,
            ..valid_sample
        };
        learner.add_sample(at_ms(2000), sample);
    }
    for step_ms in [0.0, -1.0, f64::NAN] {
        learner.add_sample(
            at_ms(2000),
            Sample {
                step_ms,
                ..valid_sample
            },
        );
    }
    assert_eq!(*learner.stats(), before);
}

#[test]
fn moments_that_are_not_finite_are_ignored() {
    let mut values = [1.0; engine::MOMENT_COUNT];
    values[3] = f64::NAN;
    assert_eq!(StepMoments::from_values(&values), StepMoments::default());
    assert_eq!(
        StepMoments::from_values(&[1.0, 2.0]),
        StepMoments::default()
    );
}

#[test]
fn the_pace_allowed_by_95_percent_of_streams_is_set_by_the_strictest_ones() {
    let mut histogram = PaceHistogram::default();
    assert_eq!(histogram.max_pace_ms(0.95), None);
    for _ in 0..90 {
        histogram.add(80.0);
    }
    for _ in 0..10 {
        histogram.add(12.0);
    }
    let pace = histogram.max_pace_ms(0.95).unwrap();
    assert!((8.0..=12.0).contains(&pace), "{pace}");
    let loose = histogram.max_pace_ms(0.8).unwrap();
    assert!((56.0..=80.0).contains(&loose), "{loose}");
    assert_eq!(PaceHistogram::from_counts(histogram.counts()), histogram);
}
