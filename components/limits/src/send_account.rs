//! Accounts of the sends to endpoints that declare a rate limit for all gateways together.
//!
//! The account of an endpoint is a token bucket at one gateway, its keeper; the others ask the keeper
//! before they send a request there.

use std::time::Duration;

use lru::LruCache;

use crate::SendRate;

/// Maximum number of accounts. The least recently used one is evicted; it would start empty again.
pub const MAX_SEND_ACCOUNTS: usize = 32_768;
/// Maximum number of unused sends that an account saves up.
const MAX_SAVED_SENDS: f64 = 3.0;
/// Sends that a request which is not urgent has to leave in an account for urgent ones.
const URGENT_RESERVE_SENDS: f64 = 1.0;
/// Minimum sends per second, also for an endpoint that accepts none: only an answer can tell that its limit ended.
const MIN_SENDS_PER_S: f64 = 0.1;
/// Refused senders get retry times one send apart, so that they do not all return at once, up to this far ahead.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(4);
/// Maximum time to the next send.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Parameters of a send that is to be charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendTerms {
    /// The endpoint's limit.
    pub rate: SendRate,
    /// Part of the limit that this keeper may grant, from 0 to 1; the rest belongs to gateways that are silent.
    pub part: f64,
    /// Whether the request takes precedence when sends are scarce.
    pub urgent: bool,
}

/// The token bucket of one endpoint. It starts empty, so that a change of the keeper adds no sends.
#[derive(Clone, Copy, Debug)]
struct SendAccount {
    saved_sends: f64,
    refilled_at: Duration,
    // Earliest retry time for the next refused sender.
    next_retry_at: Duration,
}

impl SendAccount {
    fn new(now: Duration) -> Self {
        SendAccount {
            saved_sends: 0.0,
            refilled_at: now,
            next_retry_at: now,
        }
    }

    fn take(&mut self, now: Duration, terms: SendTerms) -> Result<(), Duration> {
        let per_s = terms.rate.per_s().max(MIN_SENDS_PER_S) * terms.part;
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.saved_sends = (self.saved_sends + elapsed * per_s).min(MAX_SAVED_SENDS);
        self.refilled_at = self.refilled_at.max(now);
        let required = match terms.urgent {
            true => 1.0,
            false => 1.0 + URGENT_RESERVE_SENDS,
        };
        if self.saved_sends >= required {
            self.saved_sends -= 1.0;
            return Ok(());
        }
        let wait = time_for_sends(required - self.saved_sends, per_s);
        let retry_at = self.next_retry_at.max(now + wait);
        let latest = now + wait.max(MAX_RETRY_SPREAD);
        self.next_retry_at = (retry_at + time_for_sends(1.0, per_s)).min(latest);
        Err(retry_at.min(latest) - now)
    }
}

fn time_for_sends(sends: f64, per_s: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(sends / per_s);
    wait.map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}

/// Accounts of the endpoints that declare a limit, by a hash of the endpoint's id and start time.
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
    /// Grants a send to an endpoint, or returns the time after which to ask again. The sends granted in any period are at
    /// most the granted part of the limit for that period plus [`MAX_SAVED_SENDS`].
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
