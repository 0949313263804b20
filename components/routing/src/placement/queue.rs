//! Prompts that one engine has not read yet.

use std::collections::VecDeque;
use std::time::Duration;

/// Age after which a prompt is dropped from the queue although no first token confirmed it.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct QueuedPrompt {
    number: u64,
    tokens: f64,
    queued_at: Duration,
    // Only prompts of this gateway are confirmed, by the first event of their streams.
    is_own: bool,
}

/// Prompts in the order in which they were sent, and since when the first one is being read.
#[derive(Clone, Debug, Default)]
pub struct PromptQueue {
    prompts: VecDeque<QueuedPrompt>,
    // Time at which the engine began to read the first prompt.
    front_since: Duration,
    next_number: u64,
    // Tokens of all prompts ever queued.
    pushed_tokens: f64,
}

impl PromptQueue {
    /// Adds a prompt and returns its number.
    pub fn push(&mut self, now: Duration, tokens: u32, is_own: bool) -> u64 {
        if self.prompts.is_empty() {
            self.front_since = now;
        }
        self.next_number += 1;
        self.pushed_tokens += f64::from(tokens);
        self.prompts.push_back(QueuedPrompt {
            number: self.next_number,
            tokens: f64::from(tokens),
            queued_at: now,
            is_own,
        });
        self.next_number
    }

    /// Records that the engine produced the first token of a prompt, so this prompt and all before
    /// it are read.
    pub fn mark_read(&mut self, now: Duration, number: u64) {
        let before = self.prompts.len();
        self.prompts.retain(|prompt| prompt.number > number);
        if self.prompts.len() < before {
            self.front_since = now;
        }
    }

    /// Removes a prompt that will not be read.
    pub fn remove(&mut self, now: Duration, number: u64) {
        let was_front = self.prompts.front().is_some_and(|e| e.number == number);
        self.prompts.retain(|prompt| prompt.number != number);
        if was_front {
            self.front_since = now;
        }
    }

    /// Returns the time until the engine begins to read a prompt sent now, at `rate` tokens per
    /// millisecond.
    pub fn wait(&mut self, now: Duration, rate: f64) -> Duration {
        self.advance(now, rate);
        let tokens: f64 = self.prompts.iter().map(|prompt| prompt.tokens).sum();
        let total = millis(tokens / rate);
        total.saturating_sub(now.saturating_sub(self.front_since).min(total))
    }

    /// Returns by how much the oldest prompt of this gateway is past its expected reading time.
    pub fn overdue(&self, now: Duration, rate: f64) -> Duration {
        let own = self.prompts.iter().find(|prompt| prompt.is_own);
        own.map_or(Duration::ZERO, |prompt| {
            let waited = now.saturating_sub(prompt.queued_at);
            waited.saturating_sub(millis(prompt.tokens / rate))
        })
    }

    /// Returns the tokens of all prompts ever queued.
    pub fn pushed_tokens(&self) -> f64 {
        self.pushed_tokens
    }

    /// Whether no prompt waits to be read.
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    // Removes prompts that are expected to be read. Prompts of other gateways leave the queue after
    // their expected reading time; those of this gateway only when confirmed or too old.
    fn advance(&mut self, now: Duration, rate: f64) {
        while let Some(front) = self.prompts.front() {
            let needed = millis(front.tokens / rate);
            let end = self.front_since + needed;
            let is_stale = now > front.queued_at + MAX_UNCONFIRMED_AGE;
            if !is_stale && (front.is_own || now < end) {
                return;
            }
            self.front_since = if is_stale { now } else { end };
            self.prompts.pop_front();
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).max(0.0))
}
