//! The account of what is sent to endpoints that name a limit, at the one gateway that keeps it.

use std::time::Duration;

use lru::LruCache;

use crate::SendRate;

/// Endpoints whose accounts are kept. One that gives way begins empty again.
pub const MAX_SEND_ACCOUNTS: usize = 32_768;
/// Sends that an account holds at most.
const MOST_HELD: f64 = 3.0;
/// What less urgent requests leave in an account for urgent ones.
const LEFT_FOR_URGENT: f64 = 1.0;
/// Sends a second of an endpoint that takes none: only an answer tells that its limit ended.
const LEAST_PER_S: f64 = 0.1;
/// Those who are turned away are told times one send apart, up to so far ahead.
const LONGEST_LINE: Duration = Duration::from_secs(4);
/// Longest time to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// What a send is charged by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendTerms {
    /// The endpoint's limit.
    pub rate: SendRate,
    /// Part of it that is given out here; the rest belongs to gateways that are not heard.
    pub part: f64,
    /// Whether the request comes first where sends are short.
    pub urgent: bool,
}

/// Account of one endpoint. It begins empty, so that keepers that follow each other add nothing.
#[derive(Clone, Copy, Debug)]
struct SendAccount {
    held: f64,
    filled_at: Duration,
    // The time that the next one who is turned away is told at the earliest.
    line: Duration,
}

impl SendAccount {
    fn new(now: Duration) -> Self {
        SendAccount {
            held: 0.0,
            filled_at: now,
            line: now,
        }
    }

    fn take(&mut self, now: Duration, terms: SendTerms) -> Result<(), Duration> {
        let per_s = terms.rate.per_s().max(LEAST_PER_S) * terms.part;
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.held = (self.held + passed * per_s).min(MOST_HELD);
        self.filled_at = self.filled_at.max(now);
        let wanted = match terms.urgent {
            true => 1.0,
            false => 1.0 + LEFT_FOR_URGENT,
        };
        if self.held >= wanted {
            self.held -= 1.0;
            return Ok(());
        }
        let wait = wait_for(wanted - self.held, per_s);
        let told = self.line.max(now + wait);
        let longest = now + wait.max(LONGEST_LINE);
        self.line = (told + wait_for(1.0, per_s)).min(longest);
        Err(told.min(longest) - now)
    }
}

fn wait_for(sends: f64, per_s: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(sends / per_s);
    wait.map_or(LONGEST_WAIT, |wait| wait.min(LONGEST_WAIT))
}

/// Accounts of endpoints that name limits, by the hash of their start.
#[derive(Debug)]
pub struct SendAccounts {
    accounts: LruCache<u64, SendAccount>,
}

impl Default for SendAccounts {
    fn default() -> Self {
        SendAccounts {
            accounts: LruCache::unbounded(),
        }
    }
}

impl SendAccounts {
    /// Charges a send to an endpoint, or says when to ask again. In any time, what is granted is at most the limit's part of
    /// it and [`MOST_HELD`] sends.
    pub fn take(&mut self, now: Duration, start: u64, terms: SendTerms) -> Result<(), Duration> {
        let account = self
            .accounts
            .get_or_insert_mut(start, || SendAccount::new(now));
        let granted = account.take(now, terms);
        if self.accounts.len() > MAX_SEND_ACCOUNTS {
            self.accounts.pop_lru();
        }
        granted
    }
}
