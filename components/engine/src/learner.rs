//! What one gateway learns of a service's engines.

use std::time::Duration;

use crate::fit::LawEstimate;
use crate::pace_histogram::PaceHistogram;
use crate::step_moments::{Sample, StepMoments};

/// Time after which a sample counts for half: versions and VMs change within minutes.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Pause between fadings; in between nothing is multiplied.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Samples between estimates: one costs about as much as ten samples.
const SAMPLES_PER_ESTIMATE: u32 = 16;
/// Longest and shortest time of a sample that is taken as it is, in parts of what the law says: beyond, the engine did
/// something that is not known here, or the caller did not read.
const ACCEPTED_STEP_RATIO: std::ops::RangeInclusive<f64> = 0.6..=1.6;

/// StepMoments of one or several gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineStats {
    /// What was seen of steps.
    pub steps: StepMoments,
    /// What streams allow.
    pub allowed_paces: PaceHistogram,
}

impl EngineStats {
    /// Adds what another gateway saw.
    pub fn merge(&mut self, other: &EngineStats) {
        self.steps.merge(&other.steps);
        self.allowed_paces.merge(&other.allowed_paces);
    }

    /// The law that they speak for.
    pub fn estimate(&self) -> LawEstimate {
        LawEstimate::from_moments(&self.steps)
    }
}

/// Takes samples of one service.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    stats: EngineStats,
    decayed_at: Duration,
    estimate: Option<LawEstimate>,
    samples: u32,
}

impl Learner {
    /// Notes what a part of a stream showed; what cannot be of an engine is passed over.
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

    /// Notes a stream that allows so many milliseconds a token.
    pub fn add_allowed_pace(&mut self, now: Duration, pace_ms: f64) {
        self.decay(now);
        self.stats.allowed_paces.add(pace_ms);
    }

    /// What was learnt so far.
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

    // Its time, no further from the law than can be explained.
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
