//! Whether a gateway asks the store, asks another gateway, or waits.

use std::time::Duration;

use crate::revision::Revision;

/// A call of the store is held so long, in parts of the time within which a change is to be in force.
const HOLD_PART: f64 = 0.3;
/// Past this age of the last confirmation a gateway asks the store itself, in the same parts. A
/// change has to be in force in time also if all that hold calls have died: what is left is for the
/// call and a lost packet.
const STALE_PART: f64 = 0.65;
/// Pause after a failed call; it doubles with each one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Longest such pause of a gateway that others read for.
const LONGEST_PAUSE_OF_TAKERS: Duration = Duration::from_millis(1200);
/// A gateway that others read for asks the store itself after the same age and this part more, each at its own
/// point of it: all at once they would fill the link that kept the confirmation from them.
const SPREAD_PART: f64 = 0.2;
/// Pause before rows that were not passed on are asked for again; it doubles with each time.
const PULL_PAUSE: Duration = Duration::from_millis(100);
/// Longest time of an answer past the time for which its call is held; it doubles after a failed call, since one that
/// is asked for again over a full link fills it the more.
const FIRST_PATIENCE: Duration = Duration::from_millis(1000);
/// The most that it doubles to: a call that is lost while the store says nothing ends within it.
const LONGEST_PATIENCE: Duration = Duration::from_millis(2000);

/// What another gateway reports a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Revision after which nothing changed, as far as it knows.
    pub changed_at: Revision,
    /// Revision up to which it knows all changes, of the same era.
    pub known_to: Revision,
    /// The store's steady time at which that was confirmed.
    pub confirmed: Duration,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the store for all rows.
    List,
    /// Ask the store for changes; the call may be held so long.
    PollChanges {
        /// Time for which the call is held.
        hold: Duration,
    },
    /// Take the changes from the gateway that reported newer ones.
    PullFromPeer,
    /// Nothing until others report changes, or this time has passed.
    Wait(Duration),
}

/// Who is asked first for a change that another gateway reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreferredSource {
    /// The store: for large rows, which would fill the links between gateways.
    Store,
    /// The gateway that reported it.
    Peer,
}

// Others read for this gateway: since when it follows, and its point of the spread, 0 to 1.
#[derive(Clone, Copy, Debug)]
struct Waits {
    since: Duration,
    spread: f64,
}

/// How one topic is followed.
#[derive(Debug)]
pub struct Follower {
    first: PreferredSource,
    hold: Duration,
    stale: Duration,
    spread_time: Duration,
    confirmed_at: Option<Duration>,
    newer_reported: Option<Revision>,
    // The store cannot be asked, or the last gateway that was asked gave nothing.
    store_failures: u32,
    // Consecutive calls for changes that failed because the store's history was gone.
    history_failures: u32,
    pull_failed: bool,
    pull_failures: u32,
    pull_next_at: Duration,
    store_next_at: Duration,
    waits: Option<Waits>,
}

impl Follower {
    /// A follower that puts changes in force within `change_due`.
    pub fn new(first: PreferredSource, change_due: Duration) -> Self {
        let mut follower = Follower {
            first,
            hold: Duration::ZERO,
            stale: Duration::ZERO,
            spread_time: Duration::ZERO,
            confirmed_at: None,
            newer_reported: None,
            store_failures: 0,
            history_failures: 0,
            pull_failed: false,
            pull_failures: 0,
            pull_next_at: Duration::ZERO,
            store_next_at: Duration::ZERO,
            waits: None,
        };
        follower.set_change_due(change_due);
        follower
    }

    /// Sets the time within which a change is to be in force.
    pub fn set_change_due(&mut self, change_due: Duration) {
        self.hold = change_due.mul_f64(HOLD_PART);
        self.stale = change_due.mul_f64(STALE_PART);
        self.spread_time = change_due.mul_f64(SPREAD_PART);
    }

    /// Sets who is asked first for a change that another gateway reported.
    pub fn set_preferred_source(&mut self, first: PreferredSource) {
        self.first = first;
    }

    /// From now on a few gateways read the store for all of a region: this one takes rows from others, also when it
    /// knows none, and asks the store itself only once nothing was confirmed for too long. `spread` of 0 to 1 differs
    /// from gateway to gateway.
    pub fn delegate_store_reads(&mut self, now: Duration, spread: f64) {
        self.waits.get_or_insert(Waits { since: now, spread });
    }

    /// Where others read for this one, they cannot have begun before this time.
    pub fn set_readers_start(&mut self, at: Duration) {
        if let Some(waits) = &mut self.waits {
            waits.since = waits.since.max(at);
        }
    }

    /// From now on this gateway asks the store like all others.
    pub fn read_store_directly(&mut self) {
        self.waits = None;
    }

    /// Longest time of an answer past the time for which its call is held.
    pub fn response_timeout(&self) -> Duration {
        let doubled = FIRST_PATIENCE * (1 << self.store_failures.min(4));
        doubled.min(LONGEST_PATIENCE)
    }

    /// Whether rows may be taken from another region: from there only by those that the store does not answer, and
    /// where others read, once nothing was confirmed here for too long.
    pub fn can_pull_from_other_region(&self, now: Duration) -> bool {
        let overdue = |waits| now >= self.overdue_at(waits);
        !self.reaches_store() || self.waits.is_some_and(overdue)
    }

    /// The next step. `watches` says whether this gateway is one of those that hold calls at the
    /// store, `known` whether any rows were taken yet.
    pub fn step(&self, now: Duration, watches: bool, known: bool) -> Step {
        // A whole table comes from the store, whose link is wider than a gateway's, unless others read for this one.
        let asks_peer = (self.first == PreferredSource::Peer && known)
            || self.store_failures > 0
            || self.waits.is_some();
        if asks_peer && self.can_pull() {
            return Step::PullFromPeer;
        }
        let due = self.store_due(now, watches, known);
        if now < due {
            return Step::Wait(due - now);
        }
        if !known {
            return Step::List;
        }
        // After a failure, and where others confirm, the store is asked how things stand now.
        let may_hold = watches && self.store_failures == 0 && self.newer_reported.is_none();
        let hold = match may_hold {
            true => self.hold,
            false => Duration::ZERO,
        };
        Step::PollChanges { hold }
    }

    /// All changes up to `at` on the own clock are known.
    pub fn confirmed(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// When all changes up to then were known, on the own clock.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Another gateway reported a change that is not known here.
    pub fn newer_reported(&mut self, changed_at: Revision) {
        if self.newer_reported.is_none_or(|known| known < changed_at) {
            self.newer_reported = Some(changed_at);
            self.pull_failed = false;
        }
    }

    /// A change that was not passed on when it was asked for may be asked for again, of whoever reports it next.
    pub fn allow_pull_retry(&mut self, now: Duration) {
        if self.waits.is_some() && now >= self.pull_next_at {
            self.pull_failed = false;
        }
    }

    /// All changes up to a revision are known.
    pub fn caught_up(&mut self, revision: Revision) {
        self.newer_reported
            .take_if(|reported| *reported <= revision);
        self.pull_failed = false;
        self.pull_failures = 0;
    }

    /// Whether a change that is not known here can be had of another gateway.
    pub fn can_pull(&self) -> bool {
        self.newer_reported.is_some() && !self.pull_failed
    }

    /// The gateway that reported changes gave none: the store is asked, or the next that reports them.
    pub fn pull_failed(&mut self, now: Duration) {
        self.pull_failed = true;
        self.pull_next_at = now + PULL_PAUSE * (1 << self.pull_failures.min(4));
        self.pull_failures += 1;
    }

    /// The store answered with everything up to a revision.
    pub fn store_answered(&mut self, known_to: Revision) {
        self.store_failures = 0;
        self.store_next_at = Duration::ZERO;
        self.caught_up(known_to);
    }

    /// The store answered a call for changes, so its history reaches back to the known revision.
    pub fn history_available(&mut self) {
        self.history_failures = 0;
    }

    /// The store no longer has the changes after the known revision. The first failure leads to a list at once,
    /// consecutive ones back off exponentially.
    pub fn history_gone(&mut self, now: Duration) {
        if let Some(repeats) = self.history_failures.checked_sub(1) {
            let pause = FIRST_PAUSE * (1 << repeats.min(4));
            self.store_next_at = now + pause.min(LONGEST_PAUSE);
        }
        self.history_failures += 1;
    }

    /// The store did not answer.
    pub fn store_failed(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * (1 << self.store_failures.min(4));
        self.store_failures += 1;
        self.store_next_at = now
            + match self.waits {
                Some(waits) => pause
                    .min(LONGEST_PAUSE_OF_TAKERS)
                    .mul_f64(0.5 + waits.spread),
                None => pause.min(LONGEST_PAUSE),
            };
        // Whoever reports changes next may be asked again.
        self.pull_failed = false;
    }

    /// Whether the store answered the last call.
    pub fn reaches_store(&self) -> bool {
        self.store_failures == 0
    }

    fn store_due(&self, now: Duration, watches: bool, known: bool) -> Duration {
        if let Some(waits) = self.waits.filter(|_| !watches) {
            return self.overdue_at(waits).max(self.store_next_at);
        }
        let ask_now = watches || !known || self.newer_reported.is_some();
        let due = match self.confirmed_at {
            Some(at) if !ask_now => at + self.stale,
            _ => now,
        };
        due.max(self.store_next_at)
    }

    fn overdue_at(&self, waits: Waits) -> Duration {
        let stale = self.stale + self.spread_time.mul_f64(waits.spread);
        self.confirmed_at.unwrap_or(waits.since) + stale
    }
}
