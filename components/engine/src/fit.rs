//! The law that sums of samples speak for: a regression that starts from a prior.
//!
//! The prior keeps the estimate in bounds while the samples say little, above all while all of them were taken at
//! nearly the same number of running requests; its weight is that of a handful of samples.

use crate::law::Law;
use crate::sums::Sums;

/// What engines are taken for before anything was seen of them: middling figures of the engines that this was built
/// with (3 to 5 ms, 0.02 to 0.1 ms, 50 to 150 tokens a millisecond).
const PRIOR: Law = Law {
    base_ms: 4.0,
    per_running_ms: 0.06,
    per_read_ms: 0.015,
};
/// Deviation of the prior, in parts of its values.
const PRIOR_DEVIATION: f64 = 1.0;
/// Samples that say as much as one that stands alone: parts of streams at one engine see the same steps.
const SAMPLES_ALIKE: f64 = 4.0;
/// Least deviation of a sample, in parts of its time: clocks and the way there always add some.
const LEAST_DEVIATION: f64 = 0.05;
/// Samples before which nothing counts as known.
const LEAST_SAMPLES: f64 = 40.0;
/// Deviation of the time of a step below which it counts as known, in parts of it.
const KNOWN_DEVIATION: f64 = 0.1;
/// The same for the time of a token that is read: it is a part of what engines do, so it may be less sure.
const KNOWN_READING_DEVIATION: f64 = 0.2;
/// The time of a step must be known for this many times the running requests that were seen: what is planned with
/// the law puts more requests on fewer engines.
const LOOK_AHEAD: f64 = 2.0;
/// Least time for each token read, in milliseconds, so that a rate is always finite.
const LEAST_READ_MS: f64 = 0.0005;
/// Least base, in milliseconds.
const LEAST_BASE_MS: f64 = 0.05;

type Vector = [f64; 3];
type Matrix = [Vector; 3];

/// A law with how sure it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The law; the prior where nothing else was seen.
    pub law: Law,
    // Covariance of its three values.
    covariance: Matrix,
    samples: f64,
    mean_running: f64,
}

impl Estimate {
    /// The law that these sums speak for.
    pub fn of(sums: &Sums) -> Self {
        let start = deviation_of_prior(sums);
        let first = solve(sums, start * start);
        let deviation = residual(sums, &first.0).max(LEAST_DEVIATION * sums.mean_step_ms());
        let (values, covariance) = match deviation > 0.0 {
            true => solve(sums, deviation * deviation),
            false => first,
        };
        Estimate {
            law: Law {
                base_ms: values[0].max(LEAST_BASE_MS),
                per_running_ms: values[1].max(0.0),
                per_read_ms: values[2].max(LEAST_READ_MS),
            },
            covariance,
            samples: sums.count,
            mean_running: sums.mean_running(),
        }
    }

    /// The law, once enough was seen to plan with it.
    pub fn known(&self) -> Option<Law> {
        let running = self.mean_running * LOOK_AHEAD;
        let reading = self.covariance[2][2].sqrt();
        let is_known = self.samples >= LEAST_SAMPLES
            && self.deviation_ms(running) <= KNOWN_DEVIATION * self.law.step_ms(running)
            && reading <= KNOWN_READING_DEVIATION * self.law.per_read_ms;
        is_known.then_some(self.law)
    }

    /// Deviation of the time of a step that reads nothing, in milliseconds.
    pub fn deviation_ms(&self, running: f64) -> f64 {
        let c = &self.covariance;
        (c[0][0] + 2.0 * running * c[0][1] + running * running * c[1][1])
            .max(0.0)
            .sqrt()
    }
}

// A guess at the deviation of samples from what the prior says, for the first pass.
fn deviation_of_prior(sums: &Sums) -> f64 {
    let expected = PRIOR.step_ms(sums.mean_running());
    (LEAST_DEVIATION * 2.0 * sums.mean_step_ms()).max(LEAST_DEVIATION * expected)
}

// Values and their covariance, given the variance of a sample.
fn solve(sums: &Sums, variance: f64) -> (Vector, Matrix) {
    let prior = [PRIOR.base_ms, PRIOR.per_running_ms, PRIOR.per_read_ms];
    let weight = 1.0 / (variance * SAMPLES_ALIKE).max(f64::MIN_POSITIVE);
    let mut precision = [
        [sums.count, sums.running, sums.read],
        [sums.running, sums.running_running, sums.running_read],
        [sums.read, sums.running_read, sums.read_read],
    ];
    let mut weighted = [sums.step, sums.running_step, sums.read_step];
    for i in 0..3 {
        for value in &mut precision[i] {
            *value *= weight;
        }
        let own = 1.0 / (prior[i] * PRIOR_DEVIATION).powi(2);
        precision[i][i] += own;
        weighted[i] = weighted[i] * weight + own * prior[i];
    }
    let covariance = inverse(&precision);
    let values = covariance.map(|row| row.iter().zip(weighted).map(|(a, b)| a * b).sum());
    (values, covariance)
}

// Root of the mean square of what the values leave unexplained.
fn residual(sums: &Sums, values: &Vector) -> f64 {
    if sums.count <= 0.0 {
        return 0.0;
    }
    let [b, n, r] = *values;
    let squares = sums.step_step
        - 2.0 * (b * sums.step + n * sums.running_step + r * sums.read_step)
        + b * b * sums.count
        + n * n * sums.running_running
        + r * r * sums.read_read
        + 2.0 * (b * n * sums.running + b * r * sums.read + n * r * sums.running_read);
    (squares / sums.count).max(0.0).sqrt()
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
