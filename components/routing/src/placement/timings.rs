//! Rates and times of a service's endpoints, learnt from their answers.

use std::time::Duration;

use crate::placement::Work;

/// Reading time above which a prompt is heavy, in milliseconds: it delays the tokens of all
/// requests that run at the same engine.
const MIN_HEAVY_MS: f64 = 60.0;
/// Initial prompt tokens per millisecond that an engine reads, before it is measured.
const INITIAL_RATE: f64 = 30.0;
/// Accepted range of a measured rate, in tokens per millisecond.
const RATE_BOUNDS: std::ops::RangeInclusive<f64> = 2.0..=1000.0;
/// Minimum tokens of a prompt whose reading time is used to measure the rate.
const MIN_RATE_SAMPLE_TOKENS: u32 = 1500;
/// Maximum tokens of a prompt that is used to measure the overhead before reading.
const MAX_OVERHEAD_SAMPLE_TOKENS: u32 = 500;
/// Initial overhead in the time to first token beside reading the prompt, in milliseconds.
const INITIAL_OVERHEAD_MS: f64 = 8.0;
/// Number of samples after which the rate counts as known. Starting from the initial rate, the mean
/// is then within a tenth.
const MIN_KNOWN_SAMPLES: u32 = 12;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample of the time per answer token. Single estimates of the answer length are far
/// off.
const TOKEN_SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of a sample that is slower than the average. The engine may have read an unknown prompt
/// at the same time, so slow samples say less than fast ones.
const SLOW_SAMPLE_WEIGHT: f64 = 0.03;
/// Initial time a request holds a slot, in milliseconds.
const INITIAL_HOLD_MS: f64 = 50.0;
/// Initial time per token of the estimated answer length, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 6.0;

/// Moving averages of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTimings {
    /// Prompt tokens that an engine reads per millisecond.
    pub rate: f64,
    /// Mean time a request holds a slot, in milliseconds.
    pub hold_ms: f64,
    /// Time per token of the estimated answer length, in milliseconds.
    pub token_ms: f64,
    overhead_ms: f64,
    overhead_samples: u32,
    rate_samples: u32,
}

impl Default for ServiceTimings {
    fn default() -> Self {
        ServiceTimings {
            rate: INITIAL_RATE,
            hold_ms: INITIAL_HOLD_MS,
            token_ms: INITIAL_TOKEN_MS,
            overhead_ms: INITIAL_OVERHEAD_MS,
            overhead_samples: 0,
            rate_samples: 0,
        }
    }
}

impl ServiceTimings {
    /// Returns the rate once enough samples were seen.
    pub fn known_rate(&self) -> Option<f64> {
        (self.rate_samples >= MIN_KNOWN_SAMPLES).then_some(self.rate)
    }

    /// Whether a prompt of this many tokens takes long enough to read that it delays other
    /// requests.
    pub fn is_heavy(&self, tokens: u32) -> bool {
        f64::from(tokens) / self.rate > MIN_HEAVY_MS
    }

    /// Returns the expected time of a request whose endpoint reads `unread` tokens.
    pub fn expected_hold(&self, work: &Work, unread: u32) -> Duration {
        let hold_ms = match work.answer_tokens {
            0 => self.hold_ms,
            tokens => f64::from(unread) / self.rate + f64::from(tokens) * self.token_ms,
        };
        Duration::from_secs_f64(hold_ms / 1000.0)
    }

    /// Records that the first token came `took_ms` after a prompt was sent to an engine without
    /// queued prompts. Short prompts show the overhead, long ones the rate; returns the rate if it
    /// was measured.
    pub fn first_token(&mut self, unread_tokens: u32, took_ms: f64) -> Option<f64> {
        if unread_tokens <= MAX_OVERHEAD_SAMPLE_TOKENS {
            let overhead = (took_ms - f64::from(unread_tokens) / self.rate).max(0.0);
            self.overhead_samples += 1;
            // The first samples are averaged, since the initial value is only an assumption.
            let weight = sample_weight(overhead < self.overhead_ms)
                .max(1.0 / f64::from(self.overhead_samples));
            self.overhead_ms += (overhead - self.overhead_ms) * weight;
            return None;
        }
        let reading_ms = took_ms - self.overhead_ms;
        if unread_tokens < MIN_RATE_SAMPLE_TOKENS || reading_ms <= 1.0 {
            return None;
        }
        let sample =
            (f64::from(unread_tokens) / reading_ms).clamp(*RATE_BOUNDS.start(), *RATE_BOUNDS.end());
        self.rate = with_rate_sample(self.rate, sample);
        self.rate_samples += 1;
        Some(sample)
    }

    /// Records that a request held its slot for `held_ms` and ended without an error.
    pub fn ended(&mut self, held_ms: f64) {
        self.hold_ms += (held_ms - self.hold_ms) * SAMPLE_WEIGHT;
    }

    /// Records that an answer of about `tokens` tokens took `made_ms` after its first token.
    pub fn answered(&mut self, tokens: u32, made_ms: f64) {
        let ms_per_token = made_ms / f64::from(tokens.max(1));
        self.token_ms += (ms_per_token - self.token_ms) * TOKEN_SAMPLE_WEIGHT;
    }
}

/// Returns a moving average of a rate after one more sample.
pub(crate) fn with_rate_sample(rate: f64, sample: f64) -> f64 {
    rate + (sample - rate) * sample_weight(sample > rate)
}

fn sample_weight(is_fast: bool) -> f64 {
    match is_fast {
        true => SAMPLE_WEIGHT,
        false => SLOW_SAMPLE_WEIGHT,
    }
}
