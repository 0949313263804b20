//! StepMoments over samples of engines' steps. StepMoments of several gateways are added like those of one.

/// Values that make up [`StepMoments`].
pub const MOMENT_COUNT: usize = 10;

/// What a part of a stream showed of its engine's steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Mean time of a step, in milliseconds.
    pub step_ms: f64,
    /// Requests that ran at the engine, the stream among them.
    pub running: f64,
    /// Tokens of prompts that the engine read in each step.
    pub read_tokens: f64,
}

impl Sample {
    /// Whether it can be of an engine: its time passed, something ran, and no fewer tokens were read than none.
    pub fn is_valid(&self) -> bool {
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let is_read_valid = self.read_tokens.is_finite() && self.read_tokens >= 0.0;
        is_positive(self.step_ms) && is_positive(self.running) && is_read_valid
    }
}

/// Moments of samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepMoments {
    /// Number of samples.
    pub count: f64,
    /// Sum of the running requests.
    pub running: f64,
    /// Sum of the tokens read.
    pub read: f64,
    /// Sum of the squares of the running requests.
    pub running_running: f64,
    /// Sum of the products of running requests and tokens read.
    pub running_read: f64,
    /// Sum of the squares of the tokens read.
    pub read_read: f64,
    /// Sum of the times.
    pub step: f64,
    /// Sum of the products of running requests and times.
    pub running_step: f64,
    /// Sum of the products of tokens read and times.
    pub read_step: f64,
    /// Sum of the squares of the times.
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

    /// Adds what another gateway saw.
    pub fn merge(&mut self, other: &StepMoments) {
        let own = self.values();
        let sums: Vec<f64> = own.iter().zip(other.values()).map(|(a, b)| a + b).collect();
        *self = StepMoments::from_values(&sums);
    }

    /// Lets everything so far count for `part` of what it did.
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

    /// StepMoments of these values; empty where there are too few or one of them is no number.
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

    /// Mean number of running requests.
    pub fn mean_running(&self) -> f64 {
        match self.count > 0.0 {
            true => self.running / self.count,
            false => 0.0,
        }
    }

    /// Mean time of a step, in milliseconds.
    pub fn mean_step_ms(&self) -> f64 {
        match self.count > 0.0 {
            true => self.step / self.count,
            false => 0.0,
        }
    }
}
