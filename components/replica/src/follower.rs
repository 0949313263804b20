//! Whether a gateway asks the store, asks another gateway, or waits.

use std::time::Duration;

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

/// What another gateway reports a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Revision after which nothing changed, as far as it knows.
    pub changed_at: u64,
    /// Revision up to which it knows all changes.
    pub known_to: u64,
    /// The store's steady time at which that was confirmed.
    pub confirmed: Duration,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the store for all rows.
    List,
    /// Ask the store for changes; the call may be held so long.
    Changes {
        /// Time for which the call is held.
        hold: Duration,
    },
    /// Take the changes from the gateway that reported newer ones.
    Pull,
    /// Nothing until others report changes, or this time has passed.
    Rest(Duration),
}

/// Who is asked first for a change that another gateway reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store: for large rows, which would fill the links between gateways.
    Store,
    /// The gateway that reported it.
    Peer,
}

/// How one topic is followed.
#[derive(Debug)]
pub struct Follower {
    first: Source,
    hold: Duration,
    stale: Duration,
    confirmed_at: Option<Duration>,
    newer_reported: Option<u64>,
    // The store cannot be asked, or the last gateway that was asked gave nothing.
    store_failures: u32,
    pull_failed: bool,
    store_next_at: Duration,
}

impl Follower {
    /// A follower that puts changes in force within `change_due`.
    pub fn new(first: Source, change_due: Duration) -> Self {
        let mut follower = Follower {
            first,
            hold: Duration::ZERO,
            stale: Duration::ZERO,
            confirmed_at: None,
            newer_reported: None,
            store_failures: 0,
            pull_failed: false,
            store_next_at: Duration::ZERO,
        };
        follower.set_change_due(change_due);
        follower
    }

    /// Sets the time within which a change is to be in force.
    pub fn set_change_due(&mut self, change_due: Duration) {
        self.hold = change_due.mul_f64(HOLD_PART);
        self.stale = change_due.mul_f64(STALE_PART);
    }

    /// Sets who is asked first for a change that another gateway reported.
    pub fn set_first(&mut self, first: Source) {
        self.first = first;
    }

    /// The next step. `watches` says whether this gateway is one of those that hold calls at the
    /// store, `known` whether any rows were taken yet.
    pub fn step(&self, now: Duration, watches: bool, known: bool) -> Step {
        // A whole table comes from the store, whose link is wider than a gateway's.
        let asks_peer = (self.first == Source::Peer && known) || self.store_failures > 0;
        if asks_peer && self.may_pull() {
            return Step::Pull;
        }
        let due = self.store_due(now, watches, known);
        if now < due {
            return Step::Rest(due - now);
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
        Step::Changes { hold }
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
    pub fn newer_reported(&mut self, changed_at: u64) {
        if self.newer_reported.is_none_or(|known| known < changed_at) {
            self.newer_reported = Some(changed_at);
            self.pull_failed = false;
        }
    }

    /// All changes up to a revision are known.
    pub fn caught_up(&mut self, revision: u64) {
        self.newer_reported
            .take_if(|reported| *reported <= revision);
        self.pull_failed = false;
    }

    /// Whether a change that is not known here can be had of another gateway.
    pub fn may_pull(&self) -> bool {
        self.newer_reported.is_some() && !self.pull_failed
    }

    /// The gateway that reported changes gave none: the store is asked.
    pub fn pull_failed(&mut self) {
        self.pull_failed = true;
    }

    /// The store answered with everything up to a revision.
    pub fn store_answered(&mut self, known_to: u64) {
        self.store_failures = 0;
        self.store_next_at = Duration::ZERO;
        self.caught_up(known_to);
    }

    /// The store did not answer.
    pub fn store_failed(&mut self, now: Duration) {
        let pause = FIRST_PAUSE * (1 << self.store_failures.min(4));
        self.store_failures += 1;
        self.store_next_at = now + pause.min(LONGEST_PAUSE);
        // Whoever reports changes next may be asked again.
        self.pull_failed = false;
    }

    /// Whether the store answered the last call.
    pub fn reaches_store(&self) -> bool {
        self.store_failures == 0
    }

    fn store_due(&self, now: Duration, watches: bool, known: bool) -> Duration {
        let ask_now = watches || !known || self.newer_reported.is_some();
        let due = match self.confirmed_at {
            Some(at) if !ask_now => at + self.stale,
            _ => now,
        };
        due.max(self.store_next_at)
    }
}
