//! Collects the observations of one gateway about the engines of a service.

use std::time::Duration;

use crate::fit::LawEstimate;
use crate::pace_histogram::PaceHistogram;
use crate::step_moments::{Sample, StepMoments};

/// Half-life of a sample. It is short because versions and VMs change within minutes.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Minimum time between two applications of the decay.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of samples between two estimates. An estimate costs about as much as adding ten samples.
const SAMPLES_PER_ESTIMATE: u32 = 16;
/// Range to which the step time of a sample is clipped, relative to the estimate. Beyond it, the
/// engine did work that this gateway does not know of, or the caller did not read its stream.
const ACCEPTED_STEP_RATIO: std::ops::RangeInclusive<f64> = 0.6..=1.6;

/// Observations of one or several gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineStats {
    /// Moments of the step samples.
    pub steps: StepMoments,
    /// Paces that the streams allow.
    pub allowed_paces: PaceHistogram,
}

impl EngineStats {
    /// Adds the observations of another gateway.
    pub fn merge(&mut self, other: &EngineStats) {
        self.steps.merge(&other.steps);
        self.allowed_paces.merge(&other.allowed_paces);
    }

    /// Estimates the law of the engines.
    pub fn estimate(&self) -> LawEstimate {
        LawEstimate::from_moments(&self.steps)
    }
}

/// Collects samples of one service.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    stats: EngineStats,
    decayed_at: Duration,
    estimate: Option<LawEstimate>,
    samples: u32,
}

impl Learner {
    /// Adds a sample; invalid ones are ignored.
    pub fn add_sample(&mut self, now: Duration, sample: Sample) {
        if !sample.is_valid() {
            return;
        }
        self.decay(now);
        let clipped = Sample {
            step_ms: self.clipped_step_ms(&sample),
            ..sample
        };
        self.stats.steps.add(&clipped);
        self.samples += 1;
        if self.samples.is_multiple_of(SAMPLES_PER_ESTIMATE) {
            self.estimate = Some(self.stats.estimate());
        }
    }

    /// Adds a stream that allows at most `pace_ms` milliseconds per token.
    pub fn add_allowed_pace(&mut self, now: Duration, pace_ms: f64) {
        self.decay(now);
        self.stats.allowed_paces.add(pace_ms);
    }

    /// Observations so far, with exponential decay.
    pub fn stats(&self) -> &EngineStats {
        &self.stats
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        let factor = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.decayed_at = now;
        self.stats.steps.decay(factor);
        self.stats.allowed_paces.decay(factor);
    }

    // Step time of the sample, clipped to the accepted range around the estimate.
    fn clipped_step_ms(&self, sample: &Sample) -> f64 {
        let law = self.estimate.and_then(|estimate| estimate.confident_law());
        law.map_or(sample.step_ms, |law| {
            let expected = law.step_with_prefill_ms(sample.running, sample.read_tokens);
            sample.step_ms.clamp(
                expected * ACCEPTED_STEP_RATIO.start(),
                expected * ACCEPTED_STEP_RATIO.end(),
            )
        })
    }
}
