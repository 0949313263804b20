//! Linear model of the step time of an engine.

/// How long a step of an engine takes, as a linear function of its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Law {
    /// Constant part of the step time, in milliseconds.
    pub base_ms: f64,
    /// Time for each running request, in milliseconds.
    pub per_running_ms: f64,
    /// Time for each prompt token read, in milliseconds.
    pub per_read_ms: f64,
}

impl Law {
    /// Time of a step without prefill, in milliseconds.
    pub fn decode_step_ms(&self, running: f64) -> f64 {
        self.base_ms + self.per_running_ms * running
    }

    /// Time of a step that also reads `read_tokens` prompt tokens, in milliseconds.
    pub fn step_with_prefill_ms(&self, running: f64, read_tokens: f64) -> f64 {
        self.decode_step_ms(running) + self.per_read_ms * read_tokens
    }

    /// Prompt tokens read per millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        1.0 / self.per_read_ms
    }
}
