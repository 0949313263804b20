//! How fast the endpoints of a service work, learnt from what they answer.

use std::time::Duration;

use crate::placement::Work;

/// Prompts that take longer to read hold up the tokens of everything that runs beside them, in
/// milliseconds.
const HEAVY_MS: f64 = 60.0;
/// Tokens of prompts that an engine reads in a millisecond, until its own rate is known.
const FIRST_RATE: f64 = 30.0;
/// Bounds on a measured rate, in tokens a millisecond.
const RATES: std::ops::RangeInclusive<f64> = 2.0..=1000.0;
/// Prompts shorter than this say little of the rate.
const RATE_SAMPLE_TOKENS: u32 = 1500;
/// Prompts longer than this say little of the time before reading.
const START_SAMPLE_TOKENS: u32 = 500;
/// Time of a first token that is not reading the prompt, until measured, in milliseconds.
const FIRST_START_MS: f64 = 8.0;
/// Samples after which the rate counts as known: from the first rate the mean is then within a tenth.
const KNOWN_SAMPLES: u32 = 12;
/// Weight of a new sample in running means.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample of the time for each token: single guesses are far off.
const HOLD_SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of a sample that is slower than what is known: another prompt that is not known here may have
/// been read beside it, so slow samples say less than fast ones.
const SLOW_SAMPLE_WEIGHT: f64 = 0.03;
/// Time a request holds a slot, until measured, in milliseconds.
const FIRST_HOLD_MS: f64 = 50.0;
/// Time for each token of an answer that was guessed, until measured, in milliseconds.
const FIRST_TOKEN_PACE_MS: f64 = 6.0;

/// Running means of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Tokens of prompts read in a millisecond.
    pub rate: f64,
    /// Time a request holds a slot, in milliseconds.
    pub hold_ms: f64,
    /// Time for each token of an answer that was guessed, in milliseconds.
    pub token_ms: f64,
    start_ms: f64,
    start_samples: u32,
    samples: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            rate: FIRST_RATE,
            hold_ms: FIRST_HOLD_MS,
            token_ms: FIRST_TOKEN_PACE_MS,
            start_ms: FIRST_START_MS,
            start_samples: 0,
            samples: 0,
        }
    }
}

impl Pace {
    /// The rate, once enough was seen of it.
    pub fn known_rate(&self) -> Option<f64> {
        (self.samples >= KNOWN_SAMPLES).then_some(self.rate)
    }

    /// Whether a prompt of so many tokens holds up what runs beside it.
    pub fn reads_long(&self, tokens: u32) -> bool {
        f64::from(tokens) / self.rate > HEAVY_MS
    }

    /// Time that a request is expected to run.
    pub fn hold_of(&self, work: &Work, unread: u32) -> Duration {
        let hold_ms = match work.answer_tokens {
            0 => self.hold_ms,
            tokens => f64::from(unread) / self.rate + f64::from(tokens) * self.token_ms,
        };
        Duration::from_secs_f64(hold_ms / 1000.0)
    }

    /// The first token came `took_ms` after a prompt with nothing ahead was sent. Short prompts show the
    /// time before reading, long ones the rate; the rate of this one is returned.
    pub fn first_token(&mut self, unread_tokens: u32, took_ms: f64) -> Option<f64> {
        if unread_tokens <= START_SAMPLE_TOKENS {
            let start = (took_ms - f64::from(unread_tokens) / self.rate).max(0.0);
            self.start_samples += 1;
            // The first samples are averaged: what they start from was only a guess.
            let weight = weight_of(start < self.start_ms).max(1.0 / f64::from(self.start_samples));
            self.start_ms += (start - self.start_ms) * weight;
            return None;
        }
        let reading_ms = took_ms - self.start_ms;
        if unread_tokens < RATE_SAMPLE_TOKENS || reading_ms <= 1.0 {
            return None;
        }
        let sample = (f64::from(unread_tokens) / reading_ms).clamp(*RATES.start(), *RATES.end());
        self.rate = with_rate_sample(self.rate, sample);
        self.samples += 1;
        Some(sample)
    }

    /// A request ended well after it had held its slot.
    pub fn ended(&mut self, held_ms: f64) {
        self.hold_ms += (held_ms - self.hold_ms) * SAMPLE_WEIGHT;
    }

    /// An answer of about `tokens` tokens took so long after its first one.
    pub fn answered(&mut self, tokens: u32, made_ms: f64) {
        let made = made_ms / f64::from(tokens.max(1));
        self.token_ms += (made - self.token_ms) * HOLD_SAMPLE_WEIGHT;
    }
}

/// A running rate after one more sample.
pub(crate) fn with_rate_sample(rate: f64, sample: f64) -> f64 {
    rate + (sample - rate) * weight_of(sample > rate)
}

fn weight_of(is_fast: bool) -> f64 {
    match is_fast {
        true => SAMPLE_WEIGHT,
        false => SLOW_SAMPLE_WEIGHT,
    }
}
