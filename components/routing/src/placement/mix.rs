//! Splits a service's engines between light and heavy prompts.

/// Weight of a request in the moving averages.
const SHARE_WEIGHT: f64 = 0.002;
/// Light prompts get this part of their share of engines. Heavy ones need the room more, since they
/// delay each other.
const LIGHT_SHARE_FACTOR: f64 = 0.7;

/// Moving averages of light prompts and of all prompts of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptMix {
    light_tokens: f64,
    /// Mean tokens per prompt.
    pub tokens: f64,
    light_hold_ms: f64,
    hold_ms: f64,
}

impl Default for PromptMix {
    // Equal shares until requests were recorded.
    fn default() -> Self {
        PromptMix {
            light_tokens: 500.0,
            tokens: 1000.0,
            light_hold_ms: 500.0,
            hold_ms: 1000.0,
        }
    }
}

impl PromptMix {
    /// Records one request.
    pub fn record(&mut self, tokens: f64, hold_ms: f64, is_heavy: bool) {
        let light = if is_heavy { 0.0 } else { 1.0 };
        self.light_tokens += (light * tokens - self.light_tokens) * SHARE_WEIGHT;
        self.tokens += (tokens - self.tokens) * SHARE_WEIGHT;
        self.light_hold_ms += (light * hold_ms - self.light_hold_ms) * SHARE_WEIGHT;
        self.hold_ms += (hold_ms - self.hold_ms) * SHARE_WEIGHT;
    }

    /// Returns how many of `all` engines are meant for light prompts: by their share of tokens, but
    /// so that the slots suffice for the light and for the heavy prompts. `needed` is the number of
    /// engines that hold everything that runs now. `all` must be at least 2.
    pub fn light_engines(&self, all: usize, needed: f64) -> usize {
        let by_tokens = self.light_tokens / self.tokens * LIGHT_SHARE_FACTOR * all as f64;
        let light_running_share = self.light_hold_ms / self.hold_ms.max(1.0);
        let (light, heavy) = (
            light_running_share * needed,
            (1.0 - light_running_share) * needed,
        );
        let count = match needed > all as f64 {
            true => light_running_share * all as f64,
            false => by_tokens.clamp(light, all as f64 - heavy),
        };
        (count.round() as usize).clamp(1, all - 1)
    }
}
