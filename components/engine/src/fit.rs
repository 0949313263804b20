//! The law that sums of samples speak for: a regression that starts from a prior.
//!
//! The prior keeps the estimate in bounds while the samples say little, above all while all of them were taken at
//! nearly the same number of running requests; its weight is that of a handful of samples.

use crate::law::Law;
use crate::step_moments::StepMoments;

/// What engines are taken for before anything was seen of them: middling figures of the engines that this was built
/// with (3 to 5 ms, 0.02 to 0.1 ms, 50 to 150 tokens a millisecond).
const PRIOR: Law = Law {
    base_ms: 4.0,
    per_running_ms: 0.06,
    per_read_ms: 0.015,
};
/// Deviation of the prior, in parts of its values.
const PRIOR_RELATIVE_STD_DEV: f64 = 1.0;
/// Samples that say as much as one that stands alone: parts of streams at one engine see the same steps.
const CORRELATED_SAMPLES: f64 = 4.0;
/// Least deviation of a sample, in parts of its time: clocks and the way there always add some.
const MIN_SAMPLE_RELATIVE_STD_DEV: f64 = 0.05;
/// Samples before which nothing counts as known.
const MIN_SAMPLES: f64 = 40.0;
/// Deviation of the time of a step below which it counts as known, in parts of it.
const MAX_STEP_RELATIVE_STD_DEV: f64 = 0.1;
/// The same for the time of a token that is read: it is a part of what engines do, so it may be less sure.
const MAX_PREFILL_RELATIVE_STD_DEV: f64 = 0.2;
/// The time of a step must be known for this many times the running requests that were seen: what is planned with
/// the law puts more requests on fewer engines.
const EXTRAPOLATION_FACTOR: f64 = 2.0;
/// Least time for each token read, in milliseconds, so that a rate is always finite.
const MIN_PER_READ_MS: f64 = 0.0005;
/// Least base, in milliseconds.
const MIN_BASE_MS: f64 = 0.05;

type Vector = [f64; 3];
type Matrix = [Vector; 3];

/// A law with how sure it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LawEstimate {
    /// The law; the prior where nothing else was seen.
    pub law: Law,
    // Covariance of its three values.
    covariance: Matrix,
    samples: f64,
    mean_running: f64,
}

impl LawEstimate {
    /// The law that these sums speak for.
    pub fn from_moments(moments: &StepMoments) -> Self {
        let initial = initial_std_dev_ms(moments);
        let first = posterior(moments, initial * initial);
        let std_dev = residual_rms_ms(moments, &first.0)
            .max(MIN_SAMPLE_RELATIVE_STD_DEV * moments.mean_step_ms());
        let (values, covariance) = match std_dev > 0.0 {
            true => posterior(moments, std_dev * std_dev),
            false => first,
        };
        LawEstimate {
            law: Law {
                base_ms: values[0].max(MIN_BASE_MS),
                per_running_ms: values[1].max(0.0),
                per_read_ms: values[2].max(MIN_PER_READ_MS),
            },
            covariance,
            samples: moments.count,
            mean_running: moments.mean_running(),
        }
    }

    /// The law, once enough was seen to plan with it.
    pub fn confident_law(&self) -> Option<Law> {
        let running = self.mean_running * EXTRAPOLATION_FACTOR;
        let read_std_dev = self.covariance[2][2].sqrt();
        let is_confident = self.samples >= MIN_SAMPLES
            && self.decode_step_std_dev_ms(running)
                <= MAX_STEP_RELATIVE_STD_DEV * self.law.decode_step_ms(running)
            && read_std_dev <= MAX_PREFILL_RELATIVE_STD_DEV * self.law.per_read_ms;
        is_confident.then_some(self.law)
    }

    /// Deviation of the time of a step that reads nothing, in milliseconds.
    pub fn decode_step_std_dev_ms(&self, running: f64) -> f64 {
        let c = &self.covariance;
        (c[0][0] + 2.0 * running * c[0][1] + running * running * c[1][1])
            .max(0.0)
            .sqrt()
    }
}

// A guess at the deviation of samples from what the prior says, for the first pass.
fn initial_std_dev_ms(moments: &StepMoments) -> f64 {
    let expected = PRIOR.decode_step_ms(moments.mean_running());
    (MIN_SAMPLE_RELATIVE_STD_DEV * 2.0 * moments.mean_step_ms())
        .max(MIN_SAMPLE_RELATIVE_STD_DEV * expected)
}

// Values and their covariance, given the variance of a sample.
fn posterior(moments: &StepMoments, variance: f64) -> (Vector, Matrix) {
    let prior = [PRIOR.base_ms, PRIOR.per_running_ms, PRIOR.per_read_ms];
    let weight = 1.0 / (variance * CORRELATED_SAMPLES).max(f64::MIN_POSITIVE);
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
    let values = covariance.map(|row| row.iter().zip(weighted).map(|(a, b)| a * b).sum());
    (values, covariance)
}

// Root of the mean square of what the values leave unexplained.
fn residual_rms_ms(moments: &StepMoments, values: &Vector) -> f64 {
    if moments.count <= 0.0 {
        return 0.0;
    }
    let [b, n, r] = *values;
    let squares = moments.step_step
        - 2.0 * (b * moments.step + n * moments.running_step + r * moments.read_step)
        + b * b * moments.count
        + n * n * moments.running_running
        + r * r * moments.read_read
        + 2.0 * (b * n * moments.running + b * r * moments.read + n * r * moments.running_read);
    (squares / moments.count).max(0.0).sqrt()
}

// The prior is part of the matrix, so it has an inverse.
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
