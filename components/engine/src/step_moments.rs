//! Moments of step samples. Those of several gateways are merged by adding them.

/// Number of values in [`StepMoments`].
pub const MOMENT_COUNT: usize = 10;

/// Measurement of an engine's steps, taken from a part of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Mean step time, in milliseconds.
    pub step_ms: f64,
    /// Requests that ran at the engine, including the measured stream.
    pub running: f64,
    /// Prompt tokens that the engine read per step.
    pub read_tokens: f64,
}

impl Sample {
    /// Whether the sample is possible: step time and running requests are positive, read tokens are
    /// not negative, and all are finite.
    pub fn is_valid(&self) -> bool {
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let is_read_valid = self.read_tokens.is_finite() && self.read_tokens >= 0.0;
        is_positive(self.step_ms) && is_positive(self.running) && is_read_valid
    }
}

/// Sums over samples, sufficient for a linear regression of the step time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepMoments {
    /// Number of samples.
    pub count: f64,
    /// Sum of running requests.
    pub running: f64,
    /// Sum of tokens read.
    pub read: f64,
    /// Sum of squared running requests.
    pub running_running: f64,
    /// Sum of products of running requests and tokens read.
    pub running_read: f64,
    /// Sum of squared tokens read.
    pub read_read: f64,
    /// Sum of step times.
    pub step: f64,
    /// Sum of products of running requests and step time.
    pub running_step: f64,
    /// Sum of products of tokens read and step time.
    pub read_step: f64,
    /// Sum of squared step times.
    pub step_step: f64,
}

impl StepMoments {
    /// Adds a sample.
    pub fn add(&mut self, sample: &Sample) {
        let (n, r, s) = (sample.running, sample.read_tokens, sample.step_ms);
        self.merge(&StepMoments {
            count: 1.0,
            running: n,
            read: r,
            running_running: n * n,
            running_read: n * r,
            read_read: r * r,
            step: s,
            running_step: n * s,
            read_step: r * s,
            step_step: s * s,
        });
    }

    /// Adds the moments of another gateway.
    pub fn merge(&mut self, other: &StepMoments) {
        let own = self.values();
        let sums: Vec<f64> = own.iter().zip(other.values()).map(|(a, b)| a + b).collect();
        *self = StepMoments::from_values(&sums);
    }

    /// Multiplies all moments by `factor`.
    pub fn decay(&mut self, factor: f64) {
        let decayed = self.values().map(|value| value * factor);
        *self = StepMoments::from_values(&decayed);
    }

    /// All values, in the order of the fields.
    pub fn values(&self) -> [f64; MOMENT_COUNT] {
        [
            self.count,
            self.running,
            self.read,
            self.running_running,
            self.running_read,
            self.read_read,
            self.step,
            self.running_step,
            self.read_step,
            self.step_step,
        ]
    }

    /// Restores moments from their values; empty if there are too few or one of them is not finite.
    pub fn from_values(values: &[f64]) -> Self {
        if values.len() < MOMENT_COUNT || !values.iter().all(|value| value.is_finite()) {
            return StepMoments::default();
        }
        StepMoments {
            count: values[0],
            running: values[1],
            read: values[2],
            running_running: values[3],
            running_read: values[4],
            read_read: values[5],
            step: values[6],
            running_step: values[7],
            read_step: values[8],
            step_step: values[9],
        }
    }

    /// Mean number of running requests; 0 without samples.
    pub fn mean_running(&self) -> f64 {
        match self.count > 0.0 {
            true => self.running / self.count,
            false => 0.0,
        }
    }

    /// Mean step time, in milliseconds; 0 without samples.
    pub fn mean_step_ms(&self) -> f64 {
        match self.count > 0.0 {
            true => self.step / self.count,
            false => 0.0,
        }
    }
}
