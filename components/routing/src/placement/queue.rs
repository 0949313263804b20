//! The prompts that one engine has still to read.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest time an entry that nobody confirmed is waited for.
const LONGEST_ENTRY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Entry {
    number: u64,
    tokens: f64,
    queued_at: Duration,
    // Only this gateway's own entries are confirmed by their first event.
    own: bool,
}

/// Prompts in the order in which they were sent, with the reading of the first one under way.
#[derive(Clone, Debug, Default)]
pub struct PromptQueue {
    entries: VecDeque<Entry>,
    // When the reading of the first entry began.
    front_since: Duration,
    next_number: u64,
    // Tokens of all prompts so far.
    pushed_tokens: f64,
}

impl PromptQueue {
    /// Adds a prompt and returns its number.
    pub fn push(&mut self, now: Duration, tokens: u32, own: bool) -> u64 {
        if self.entries.is_empty() {
            self.front_since = now;
        }
        self.next_number += 1;
        self.pushed_tokens += f64::from(tokens);
        self.entries.push_back(Entry {
            number: self.next_number,
            tokens: f64::from(tokens),
            queued_at: now,
            own,
        });
        self.next_number
    }

    /// The engine made the first token of a prompt: it and those before it are read.
    pub fn read(&mut self, now: Duration, number: u64) {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.number > number);
        if self.entries.len() < before {
            self.front_since = now;
        }
    }

    /// Takes out a prompt that will not be read.
    pub fn drop_entry(&mut self, now: Duration, number: u64) {
        let was_front = self.entries.front().is_some_and(|e| e.number == number);
        self.entries.retain(|entry| entry.number != number);
        if was_front {
            self.front_since = now;
        }
    }

    /// Time until a prompt sent now begins to be read, at `rate` tokens a millisecond.
    pub fn wait(&mut self, now: Duration, rate: f64) -> Duration {
        self.advance(now, rate);
        let tokens: f64 = self.entries.iter().map(|entry| entry.tokens).sum();
        let total = millis(tokens / rate);
        total.saturating_sub(now.saturating_sub(self.front_since).min(total))
    }

    /// How long the oldest own prompt has waited past the time expected for it.
    pub fn overdue(&self, now: Duration, rate: f64) -> Duration {
        let own = self.entries.iter().find(|entry| entry.own);
        own.map_or(Duration::ZERO, |entry| {
            let waited = now.saturating_sub(entry.queued_at);
            waited.saturating_sub(millis(entry.tokens / rate))
        })
    }

    /// Tokens of all prompts that were ever queued.
    pub fn pushed_tokens(&self) -> f64 {
        self.pushed_tokens
    }

    /// Whether nothing is to be read.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    // Entries of others pass by time; own ones only when confirmed or too old to wait for.
    fn advance(&mut self, now: Duration, rate: f64) {
        while let Some(front) = self.entries.front() {
            let needed = millis(front.tokens / rate);
            let end = self.front_since + needed;
            let stale = now > front.queued_at + LONGEST_ENTRY;
            if !stale && (front.own || now < end) {
                return;
            }
            self.front_since = if stale { now } else { end };
            self.entries.pop_front();
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).max(0.0))
}
