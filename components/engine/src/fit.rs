//! Estimates the step time law of engines from the moments of samples, by Bayesian linear
//! regression.
//!
//! The prior bounds the estimate while the samples carry little information, in particular while
//! all of them have nearly the same number of running requests. It weighs as much as a handful of
//! samples.

use crate::law::Law;
use crate::step_moments::StepMoments;

/// Law assumed without samples: mid-range values of the engines known at design time (3 to 5 ms,
/// 0.02 to 0.1 ms, 50 to 150 tokens per millisecond).
const PRIOR: Law = Law {
    base_ms: 4.0,
    per_running_ms: 0.06,
    per_read_ms: 0.015,
};
/// Standard deviation of the prior, relative to its values.
const PRIOR_RELATIVE_STD_DEV: f64 = 1.0;
/// Number of samples that carry as much information as one independent sample: samples of streams
/// at the same engine cover the same steps.
const SAMPLES_PER_INDEPENDENT_SAMPLE: f64 = 4.0;
/// Minimum standard deviation of a sample, relative to its step time, because clocks and the
/// network always add noise.
const MIN_SAMPLE_RELATIVE_STD_DEV: f64 = 0.05;
/// Minimum number of samples for a confident estimate.
const MIN_SAMPLES: f64 = 40.0;
/// Maximum relative standard deviation of the step time for a confident estimate.
const MAX_STEP_RELATIVE_STD_DEV: f64 = 0.1;
/// The same for the time per prompt token read. It may be less certain, because reading is only a
/// part of the work of an engine.
const MAX_PREFILL_RELATIVE_STD_DEV: f64 = 0.2;
/// The step time must be confident up to this multiple of the observed mean number of running
/// requests, because plans based on the law put more requests on fewer engines.
const EXTRAPOLATION_FACTOR: f64 = 2.0;
/// Minimum time per prompt token read, in milliseconds, so that the read rate is always finite.
const MIN_PER_READ_MS: f64 = 0.0005;
/// Minimum base time of a step, in milliseconds.
const MIN_BASE_MS: f64 = 0.05;

type Vector = [f64; 3];
type Matrix = [Vector; 3];

/// An estimated law with its covariance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LawEstimate {
    /// The estimated law; without samples, the prior.
    pub law: Law,
    // Covariance of the three coefficients of the law.
    covariance: Matrix,
    samples: f64,
    mean_running: f64,
}

impl LawEstimate {
    /// Estimates the law from the moments of samples.
    pub fn from_moments(moments: &StepMoments) -> Self {
        let initial = initial_std_dev_ms(moments);
        let first_pass = posterior(moments, initial * initial);
        let std_dev = residual_rms_ms(moments, &first_pass.0)
            .max(MIN_SAMPLE_RELATIVE_STD_DEV * moments.mean_step_ms());
        let (coefficients, covariance) = match std_dev > 0.0 {
            true => posterior(moments, std_dev * std_dev),
            false => first_pass,
        };
        LawEstimate {
            law: Law {
                base_ms: coefficients[0].max(MIN_BASE_MS),
                per_running_ms: coefficients[1].max(0.0),
                per_read_ms: coefficients[2].max(MIN_PER_READ_MS),
            },
            covariance,
            samples: moments.count,
            mean_running: moments.mean_running(),
        }
    }

    /// The law, if the estimate is confident enough for planning.
    pub fn confident_law(&self) -> Option<Law> {
        let running = self.mean_running * EXTRAPOLATION_FACTOR;
        let read_std_dev = self.covariance[2][2].sqrt();
        let is_confident = self.samples >= MIN_SAMPLES
            && self.decode_step_std_dev_ms(running)
                <= MAX_STEP_RELATIVE_STD_DEV * self.law.decode_step_ms(running)
            && read_std_dev <= MAX_PREFILL_RELATIVE_STD_DEV * self.law.per_read_ms;
        is_confident.then_some(self.law)
    }

    /// Standard deviation of the step time without prefill, in milliseconds.
    pub fn decode_step_std_dev_ms(&self, running: f64) -> f64 {
        let c = &self.covariance;
        (c[0][0] + 2.0 * running * c[0][1] + running * running * c[1][1])
            .max(0.0)
            .sqrt()
    }
}

// Initial value for the standard deviation of a sample, used in the first pass.
fn initial_std_dev_ms(moments: &StepMoments) -> f64 {
    let expected = PRIOR.decode_step_ms(moments.mean_running());
    (MIN_SAMPLE_RELATIVE_STD_DEV * 2.0 * moments.mean_step_ms())
        .max(MIN_SAMPLE_RELATIVE_STD_DEV * expected)
}

// Posterior mean and covariance of the coefficients, given the variance of a sample.
fn posterior(moments: &StepMoments, variance: f64) -> (Vector, Matrix) {
    let prior = [PRIOR.base_ms, PRIOR.per_running_ms, PRIOR.per_read_ms];
    let weight = 1.0 / (variance * SAMPLES_PER_INDEPENDENT_SAMPLE).max(f64::MIN_POSITIVE);
    let mut precision = [
        [moments.count, moments.running, moments.read],
        [
            moments.running,
            moments.running_running,
            moments.running_read,
        ],
        [moments.read, moments.running_read, moments.read_read],
    ];
    let mut weighted = [moments.step, moments.running_step, moments.read_step];
    for i in 0..3 {
        for value in &mut precision[i] {
            *value *= weight;
        }
        let prior_precision = 1.0 / (prior[i] * PRIOR_RELATIVE_STD_DEV).powi(2);
        precision[i][i] += prior_precision;
        weighted[i] = weighted[i] * weight + prior_precision * prior[i];
    }
    let covariance = inverse(&precision);
    let coefficients = covariance.map(|row| row.iter().zip(weighted).map(|(a, b)| a * b).sum());
    (coefficients, covariance)
}

// Root mean square of the residuals.
fn residual_rms_ms(moments: &StepMoments, coefficients: &Vector) -> f64 {
    if moments.count <= 0.0 {
        return 0.0;
    }
    let [b, n, r] = *coefficients;
    let squares = moments.step_step
        - 2.0 * (b * moments.step + n * moments.running_step + r * moments.read_step)
        + b * b * moments.count
        + n * n * moments.running_running
        + r * r * moments.read_read
        + 2.0 * (b * n * moments.running + b * r * moments.read + n * r * moments.running_read);
    (squares / moments.count).max(0.0).sqrt()
}

// The prior adds to the diagonal, so the matrix is always invertible.
fn inverse(m: &Matrix) -> Matrix {
    let minor = |r: usize, c: usize| {
        let (r1, r2) = ((r + 1) % 3, (r + 2) % 3);
        let (c1, c2) = ((c + 1) % 3, (c + 2) % 3);
        m[r1][c1] * m[r2][c2] - m[r1][c2] * m[r2][c1]
    };
    let determinant: f64 = (0..3).map(|c| m[0][c] * minor(0, c)).sum();
    let mut inverse = [[0.0; 3]; 3];
    for (r, row) in inverse.iter_mut().enumerate() {
        for (c, value) in row.iter_mut().enumerate() {
            *value = minor(c, r) / determinant;
        }
    }
    inverse
}
