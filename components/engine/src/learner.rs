//! What one gateway learns of a service's engines.

use std::time::Duration;

use crate::allowed::AllowedPaces;
use crate::fit::Estimate;
use crate::sums::{Sample, Sums};

/// Time after which a sample counts for half: versions and VMs change within minutes.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Pause between fadings; in between nothing is multiplied.
const FADE_PAUSE: Duration = Duration::from_secs(1);
/// Samples between estimates: one costs about as much as ten samples.
const ESTIMATE_EVERY: u32 = 16;
/// Longest and shortest time of a sample that is taken as it is, in parts of what the law says: beyond, the engine did
/// something that is not known here, or the caller did not read.
const TRUSTED: std::ops::RangeInclusive<f64> = 0.6..=1.6;

/// Sums of one or several gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Learnt {
    /// What was seen of steps.
    pub steps: Sums,
    /// What streams allow.
    pub allowed: AllowedPaces,
}

impl Learnt {
    /// Adds what another gateway saw.
    pub fn merge(&mut self, other: &Learnt) {
        self.steps.merge(&other.steps);
        self.allowed.merge(&other.allowed);
    }

    /// The law that they speak for.
    pub fn estimate(&self) -> Estimate {
        Estimate::of(&self.steps)
    }
}

/// Takes samples of one service.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    learnt: Learnt,
    faded_at: Duration,
    estimate: Option<Estimate>,
    samples: u32,
}

impl Learner {
    /// Notes what a part of a stream showed; what cannot be of an engine is passed over.
    pub fn note(&mut self, now: Duration, sample: Sample) {
        if !sample.is_sound() {
            return;
        }
        self.fade(now);
        let taken = Sample {
            step_ms: self.trusted(&sample),
            ..sample
        };
        self.learnt.steps.add(&taken);
        self.samples += 1;
        if self.samples.is_multiple_of(ESTIMATE_EVERY) {
            self.estimate = Some(self.learnt.estimate());
        }
    }

    /// Notes a stream that allows so many milliseconds a token.
    pub fn allow(&mut self, now: Duration, pace_ms: f64) {
        self.fade(now);
        self.learnt.allowed.add(pace_ms);
    }

    /// What was learnt so far.
    pub fn learnt(&self) -> &Learnt {
        &self.learnt
    }

    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.faded_at);
        if passed < FADE_PAUSE {
            return;
        }
        let part = (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.faded_at = now;
        self.learnt.steps.fade(part);
        self.learnt.allowed.fade(part);
    }

    // Its time, no further from the law than can be explained.
    fn trusted(&self, sample: &Sample) -> f64 {
        let law = self.estimate.and_then(|estimate| estimate.known());
        law.map_or(sample.step_ms, |law| {
            let expected = law.reading_step_ms(sample.running, sample.read_tokens);
            sample
                .step_ms
                .clamp(expected * TRUSTED.start(), expected * TRUSTED.end())
        })
    }
}
