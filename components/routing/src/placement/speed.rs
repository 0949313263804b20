//! Prompt reading speed of one endpoint relative to its service.

use crate::placement::timings::{with_rate_sample, ServiceTimings};

/// Number of samples that the service's rate counts for beside the endpoint's own. A single own
/// sample may be far off, since the endpoint may have read an unknown prompt at the same time.
const SERVICE_SAMPLES: f64 = 4.0;
/// Maximum number of own samples that count, nine tenths of the total weight.
const MAX_SAMPLES: u32 = 36;

/// Measured prompt reading rate of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadingSpeed {
    // Running mean in tokens per millisecond.
    own_rate: f64,
    samples: u32,
}

impl ReadingSpeed {
    /// Records that it read a prompt at `rate` tokens per millisecond.
    pub fn record(&mut self, rate: f64) {
        self.own_rate = match self.samples {
            0 => rate,
            _ => with_rate_sample(self.own_rate, rate),
        };
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
    }

    /// Returns the time a prompt takes there, relative to the mean of the service's endpoints.
    pub fn relative_duration(&self, timings: ServiceTimings) -> f64 {
        timings.rate / self.rate(timings)
    }

    /// Returns the tokens it reads per millisecond: the service's rate, increasingly replaced by
    /// its own measurements.
    pub fn rate(&self, timings: ServiceTimings) -> f64 {
        let samples = f64::from(self.samples);
        (timings.rate * SERVICE_SAMPLES + self.own_rate * samples) / (SERVICE_SAMPLES + samples)
    }
}
