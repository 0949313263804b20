//! How fast one endpoint reads prompts beside the others of its service.

use crate::placement::pace::{with_rate_sample, Pace};

/// The service's rate counts as many samples as this beside the endpoint's own: one of these may be far off, since a
/// prompt that is not known here may have been read beside it.
const SERVICE_SAMPLES: f64 = 4.0;
/// Own samples count up to this many, nine tenths of the whole.
const MOST_SAMPLES: u32 = 36;

/// What was measured of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    // Running mean of tokens a millisecond.
    own: f64,
    samples: u32,
}

impl Speed {
    /// It read a prompt at so many tokens a millisecond.
    pub fn note(&mut self, rate: f64) {
        self.own = match self.samples {
            0 => rate,
            _ => with_rate_sample(self.own, rate),
        };
        self.samples = (self.samples + 1).min(MOST_SAMPLES);
    }

    /// Time that work takes there, in parts of what it takes at the service's endpoints on the whole.
    pub fn slowness(&self, pace: Pace) -> f64 {
        pace.rate / self.rate(pace)
    }

    /// Tokens that it reads in a millisecond, as far as is known: its service's rate until it was measured itself.
    pub fn rate(&self, pace: Pace) -> f64 {
        let samples = f64::from(self.samples);
        (pace.rate * SERVICE_SAMPLES + self.own * samples) / (SERVICE_SAMPLES + samples)
    }
}
