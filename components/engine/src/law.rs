//! The time of an engine's step.

/// How long a step of an engine takes, by what it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Law {
    /// Time of a step beside all else, in milliseconds.
    pub base_ms: f64,
    /// Time for each request that runs, in milliseconds.
    pub per_running_ms: f64,
    /// Time for each token of a prompt that is read, in milliseconds.
    pub per_read_ms: f64,
}

impl Law {
    /// Time of a step that reads nothing, in milliseconds.
    pub fn decode_step_ms(&self, running: f64) -> f64 {
        self.base_ms + self.per_running_ms * running
    }

    /// Time of a step, in milliseconds.
    pub fn step_with_prefill_ms(&self, running: f64, read_tokens: f64) -> f64 {
        self.decode_step_ms(running) + self.per_read_ms * read_tokens
    }

    /// Tokens that are read in a millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        1.0 / self.per_read_ms
    }
}
