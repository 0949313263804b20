//! Decides whether a gateway reads a topic from the store, pulls it from another gateway, or waits.

use std::time::Duration;

use crate::revision::Revision;

/// Longest time for which the store holds a long poll, as a fraction of the time within which a change has to be in force.
const HOLD_FRACTION: f64 = 0.3;
/// Age of the last confirmation, as a fraction of the same time, after which a gateway asks the store itself. A change
/// has to be in force in time even if all gateways with long polls have died; the remaining time covers the call and a
/// lost packet.
const STALENESS_FRACTION: f64 = 0.65;
/// Backoff after the first failed call to the store; it doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Upper limit of the backoff of a gateway that delegates its store reads, before it is scaled by the spread.
const MAX_DELEGATED_BACKOFF: Duration = Duration::from_millis(1200);
/// The same age while the store does not answer this gateway, whose readers may be refused as well: after it, the store
/// is read through another gateway.
const REFUSED_STALENESS_FRACTION: f64 = 0.4;
/// Range, as a fraction of the same time, over which gateways that delegate their store reads stagger their own calls
/// after that age. Calls made all at once would fill the link whose load delayed the confirmation.
const SPREAD_FRACTION: f64 = 0.2;
/// Backoff after the first failed pull from another gateway; it doubles with each consecutive failure.
const INITIAL_PULL_BACKOFF: Duration = Duration::from_millis(100);
/// Timeout of a store call, in addition to its hold time. It doubles with each failed call, since a repeated call adds
/// to the load of a full link.
const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Upper limit of the timeout, within which a lost call to a silent store ends.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2000);

/// What a gateway reports to others about its copy of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Revision after which the gateway knows of no change.
    pub changed_at: Revision,
    /// Revision of the same era up to which the gateway knows all changes.
    pub known_to: Revision,
    /// Time of the store's monotonic clock at which `known_to` was confirmed to be the newest revision.
    pub confirmed: Duration,
}

/// The next action of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// List all rows of the store.
    List,
    /// Ask the store for changes, with a long poll if `hold` is not zero.
    PollChanges {
        /// Longest time for which the store holds the call.
        hold: Duration,
    },
    /// Pull the changes from the gateway that reported newer ones.
    PullFromPeer,
    /// Wait until another gateway reports changes, at most for this time.
    Wait(Duration),
}

/// Where a change that another gateway reported is read from first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreferredSource {
    /// The store, for large rows that would fill the links between gateways.
    Store,
    /// The gateway that reported it.
    Peer,
}

// Other gateways read the store for this one.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    // Time from which the readers are expected to confirm rows.
    since: Duration,
    // Fraction, 0 to 1, of the spread window by which this gateway delays its own calls of the store.
    spread: f64,
}

/// Schedules the reads that keep the copy of one topic up to date. Times are of the own monotonic clock.
#[derive(Debug)]
pub struct Follower {
    preferred_source: PreferredSource,
    hold: Duration,
    max_staleness: Duration,
    max_refused_staleness: Duration,
    spread_window: Duration,
    confirmed_at: Option<Duration>,
    newer_reported: Option<Revision>,
    // Consecutive calls that the store did not answer.
    store_failures: u32,
    // Consecutive calls for changes that failed because the store no longer had the history.
    history_failures: u32,
    // The last pull failed, and no gateway may be asked again yet.
    pull_failed: bool,
    pull_failures: u32,
    next_pull_at: Duration,
    next_store_call_at: Duration,
    delegation: Option<Delegation>,
}

impl Follower {
    /// Creates a follower that reads often enough for changes to be in force within `change_due`.
    pub fn new(preferred_source: PreferredSource, change_due: Duration) -> Self {
        let mut follower = Follower {
            preferred_source,
            hold: Duration::ZERO,
            max_staleness: Duration::ZERO,
            max_refused_staleness: Duration::ZERO,
            spread_window: Duration::ZERO,
            confirmed_at: None,
            newer_reported: None,
            store_failures: 0,
            history_failures: 0,
            pull_failed: false,
            pull_failures: 0,
            next_pull_at: Duration::ZERO,
            next_store_call_at: Duration::ZERO,
            delegation: None,
        };
        follower.set_change_due(change_due);
        follower
    }

    /// Sets the time within which a change has to be in force.
    pub fn set_change_due(&mut self, change_due: Duration) {
        self.hold = change_due.mul_f64(HOLD_FRACTION);
        self.max_staleness = change_due.mul_f64(STALENESS_FRACTION);
        self.max_refused_staleness = change_due.mul_f64(REFUSED_STALENESS_FRACTION);
        self.spread_window = change_due.mul_f64(SPREAD_FRACTION);
    }

    /// Sets where a change that another gateway reported is read from first.
    pub fn set_preferred_source(&mut self, preferred_source: PreferredSource) {
        self.preferred_source = preferred_source;
    }

    /// Leaves reading the store to a few other gateways of the region. This gateway pulls all rows from them, and calls
    /// the store itself only once its last confirmation is too old. `spread`, 0 to 1, differs between gateways and
    /// staggers these calls.
    pub fn delegate_store_reads(&mut self, now: Duration, spread: f64) {
        self.delegation
            .get_or_insert(Delegation { since: now, spread });
    }

    /// Sets the earliest time at which the readers can have begun, if store reads are delegated.
    pub fn set_readers_start(&mut self, at: Duration) {
        if let Some(delegation) = &mut self.delegation {
            delegation.since = delegation.since.max(at);
        }
    }

    /// Ends the delegation: this gateway reads the store itself.
    pub fn read_store_directly(&mut self) {
        self.delegation = None;
    }

    /// Timeout of a store call, in addition to the time for which the store holds it.
    pub fn response_timeout(&self) -> Duration {
        let timeout = INITIAL_RESPONSE_TIMEOUT * (1 << self.store_failures.min(4));
        timeout.min(MAX_RESPONSE_TIMEOUT)
    }

    /// Whether rows may be pulled from a gateway of another region: if the store did not answer the last call, or store
    /// reads are delegated and the last confirmation is too old.
    pub fn can_pull_from_other_region(&self, now: Duration) -> bool {
        let is_stale = |delegation| now >= self.stale_at(delegation);
        !self.reaches_store() || self.delegation.is_some_and(is_stale)
    }

    /// Returns the next step. `is_watcher` says whether this gateway is one of those that long-poll the store,
    /// `can_poll` whether its rows can be brought up to date by changes; otherwise they have to be listed.
    pub fn step(&self, now: Duration, is_watcher: bool, can_poll: bool) -> Step {
        // All rows are listed from the store, whose link is wider than a gateway's, unless store reads are delegated.
        let should_pull = (self.preferred_source == PreferredSource::Peer && can_poll)
            || self.store_failures > 0
            || self.delegation.is_some();
        if should_pull && self.can_pull() {
            return Step::PullFromPeer;
        }
        let due = self.store_call_due(now, is_watcher, can_poll);
        if now < due {
            return Step::Wait(due - now);
        }
        if !can_poll {
            return Step::List;
        }
        // Only a watcher long-polls, and only if the store answered the last call and no newer change is reported.
        let can_hold = is_watcher && self.store_failures == 0 && self.newer_reported.is_none();
        let hold = match can_hold {
            true => self.hold,
            false => Duration::ZERO,
        };
        Step::PollChanges { hold }
    }

    /// Records that all changes made before `at` are known.
    pub fn confirmed(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Latest time up to which all changes are known.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Records that another gateway reported a change that is not known here.
    pub fn newer_reported(&mut self, changed_at: Revision) {
        if self.newer_reported.is_none_or(|known| known < changed_at) {
            self.newer_reported = Some(changed_at);
            self.pull_failed = false;
        }
    }

    /// Allows another pull once the backoff after the last failed one has passed, if store reads are delegated.
    pub fn allow_pull_retry(&mut self, now: Duration) {
        if self.delegation.is_some() && now >= self.next_pull_at {
            self.pull_failed = false;
        }
    }

    /// Records that all changes up to a revision are known.
    pub fn caught_up(&mut self, revision: Revision) {
        self.newer_reported
            .take_if(|reported| *reported <= revision);
        self.pull_failed = false;
        self.pull_failures = 0;
    }

    /// Whether another gateway reported a change that is not known here and may be asked for it.
    pub fn can_pull(&self) -> bool {
        self.newer_reported.is_some() && !self.pull_failed
    }

    /// Records that the gateway that reported changes did not send them. The store is asked next, or the next gateway that
    /// reports them.
    pub fn pull_failed(&mut self, now: Duration) {
        self.pull_failed = true;
        self.next_pull_at = now + INITIAL_PULL_BACKOFF * (1 << self.pull_failures.min(4));
        self.pull_failures += 1;
    }

    /// Records that the store answered with all changes up to a revision.
    pub fn store_answered(&mut self, known_to: Revision) {
        self.store_failures = 0;
        self.next_store_call_at = Duration::ZERO;
        self.caught_up(known_to);
    }

    /// Records that the store answered a call for changes, so its history reaches back to the known revision.
    pub fn history_available(&mut self) {
        self.history_failures = 0;
    }

    /// Records that the store no longer has the changes after the known revision. The rows are listed at once after the
    /// first failure, and with exponential backoff after consecutive ones.
    pub fn history_gone(&mut self, now: Duration) {
        if let Some(repeats) = self.history_failures.checked_sub(1) {
            let backoff = INITIAL_BACKOFF * (1 << repeats.min(4));
            self.next_store_call_at = now + backoff.min(MAX_BACKOFF);
        }
        self.history_failures += 1;
    }

    /// Records that the store did not answer.
    pub fn store_failed(&mut self, now: Duration) {
        let backoff = INITIAL_BACKOFF * (1 << self.store_failures.min(4));
        self.store_failures += 1;
        self.next_store_call_at = now
            + match self.delegation {
                Some(delegation) => backoff
                    .min(MAX_DELEGATED_BACKOFF)
                    .mul_f64(0.5 + delegation.spread),
                None => backoff.min(MAX_BACKOFF),
            };
        // The next gateway that reports changes may be asked again.
        self.pull_failed = false;
    }

    /// Whether the store should be read through another gateway: neither it nor a gateway that reaches it has confirmed
    /// the rows for too long.
    pub fn should_read_through_peer(&self, now: Duration) -> bool {
        let max_age = match self.reaches_store() {
            true => self.max_staleness,
            false => self.max_refused_staleness,
        };
        self.confirmed_at.is_some_and(|at| now >= at + max_age)
    }

    /// Whether the store answered the last call.
    pub fn reaches_store(&self) -> bool {
        self.store_failures == 0
    }

    fn store_call_due(&self, now: Duration, is_watcher: bool, can_poll: bool) -> Duration {
        if let Some(delegation) = self.delegation.filter(|_| !is_watcher) {
            return self.stale_at(delegation).max(self.next_store_call_at);
        }
        let should_ask_now = is_watcher || !can_poll || self.newer_reported.is_some();
        let due = match self.confirmed_at {
            Some(at) if !should_ask_now => at + self.max_staleness,
            _ => now,
        };
        due.max(self.next_store_call_at)
    }

    fn stale_at(&self, delegation: Delegation) -> Duration {
        let max_age = self.max_staleness + self.spread_window.mul_f64(delegation.spread);
        self.confirmed_at.unwrap_or(delegation.since) + max_age
    }
}
