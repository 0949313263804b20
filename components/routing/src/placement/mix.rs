//! How light and heavy prompts share the engines of a service.

/// Weight of a request in the running share of light prompts.
const SHARE_WEIGHT: f64 = 0.002;
/// Part of their share of the engines that light prompts get: heavy ones need the room more, since
/// they hold each other up.
const LIGHT_PART: f64 = 0.7;

/// What light prompts ask for beside all prompts of a service, as running means.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mix {
    light_tokens: f64,
    /// Tokens of a prompt.
    pub tokens: f64,
    light_hold_ms: f64,
    hold_ms: f64,
}

impl Default for Mix {
    // Half and half, until requests say otherwise.
    fn default() -> Self {
        Mix {
            light_tokens: 500.0,
            tokens: 1000.0,
            light_hold_ms: 500.0,
            hold_ms: 1000.0,
        }
    }
}

impl Mix {
    /// Notes one request.
    pub fn note(&mut self, tokens: f64, hold_ms: f64, heavy: bool) {
        let light = if heavy { 0.0 } else { 1.0 };
        self.light_tokens += (light * tokens - self.light_tokens) * SHARE_WEIGHT;
        self.tokens += (tokens - self.tokens) * SHARE_WEIGHT;
        self.light_hold_ms += (light * hold_ms - self.light_hold_ms) * SHARE_WEIGHT;
        self.hold_ms += (hold_ms - self.hold_ms) * SHARE_WEIGHT;
    }

    /// Engines of `all` for light prompts: by the tokens they ask for, unless their slots or those
    /// of the heavy ones would run out. `needed` engines hold everything that runs now.
    pub fn light_engines(&self, all: usize, needed: f64) -> usize {
        let by_tokens = self.light_tokens / self.tokens * LIGHT_PART * all as f64;
        let running = self.light_hold_ms / self.hold_ms.max(1.0);
        let (light, heavy) = (running * needed, (1.0 - running) * needed);
        let count = match needed > all as f64 {
            true => running * all as f64,
            false => by_tokens.clamp(light, all as f64 - heavy),
        };
        (count.round() as usize).clamp(1, all - 1)
    }
}
