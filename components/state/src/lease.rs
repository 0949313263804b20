//! A lease on fleet work, with an epoch that only grows.
//!
//! Clocks of different nodes are never compared. A holder counts its lease from the moment before
//! it sent the write that renewed it; everyone else counts from the moment they first saw the
//! row's version, which is later. A holder stops ordering a margin before its lease ends, which
//! covers the longest order; a new holder starts ordering a margin after it took the lease, which
//! covers a pause of the old one between its last look at the lease and the order. So the last
//! order of one reaches an endpoint before the first of the next, also where fences are not
//! checked.

use std::time::Duration;

use schema::messages::LeaseRow;

use crate::table::{Reply, Row, TableCall, Write, ABSENT};

/// Number of epochs reserved for each restore of the table: one per version of the row.
const EPOCHS_PER_ERA: i64 = 1 << 40;
/// Highest era with an epoch range of its own; keeps epochs within `i64`.
const MAX_ERA: u64 = 1 << 22;

/// Fixed terms of a lease.
#[derive(Clone, Debug)]
pub struct LeaseTerms {
    /// Key of its row.
    pub key: String,
    /// Name of this node.
    pub node: String,
    /// Time that a renewal holds.
    pub duration: Duration,
    /// Longest time an order takes to reach its endpoint and end there.
    pub margin: Duration,
    /// Pause between renewals of a holder and between looks of the others.
    pub interval: Duration,
}

/// What happens to a lease.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// Time passed. `write_id` is a unique id for a write that may follow.
    Tick {
        /// Unique id.
        write_id: String,
        /// Whether this node may try for the lease.
        is_candidate: bool,
    },
    /// A table call came back; only the one asked for last counts.
    Replied {
        /// Number of the call.
        call: u32,
        /// Era of the table that replied; `None` if the reply carries none.
        era: Option<u64>,
        /// Its reply.
        reply: Reply,
    },
    /// The holder reported which row it wrote last.
    HeadReported(LeaseHead),
    /// A holder reported that it gave the lease of this epoch up and has no order under way.
    GiveUpReported(i64),
    /// Give the lease up without a write, for the case that the store does not answer this node. What is
    /// reported to others, from [`Lease::given_up`], lets one of them follow at once.
    GiveUp,
    /// The node stops: give the lease up.
    Release {
        /// Unique id.
        write_id: String,
    },
}

/// The newest row of a lease, as its holder reports others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHead {
    /// Version of the row.
    pub version: u64,
    /// Era of the table in which the version is valid.
    pub era: u64,
    /// Its holder.
    pub holder: String,
    /// Its epoch.
    pub epoch: i64,
}

/// What a lease asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Make a table call and hand in its reply.
    Call {
        /// Number of the call.
        call: u32,
        /// The call.
        table: TableCall,
    },
    /// The lease is held with this epoch.
    Gained(i64),
    /// The lease is not held any more.
    Lost,
}

#[derive(Clone, Debug)]
struct Pending {
    sent_at: Duration,
    row: Option<LeaseRow>,
}

#[derive(Clone, Debug)]
struct Held {
    epoch: i64,
    until: Duration,
    orders_from: Duration,
}

/// One node's view of one lease.
#[derive(Debug)]
pub struct Lease {
    terms: LeaseTerms,
    // Highest known era of the table; versions are compared only within one era.
    era: Option<u64>,
    seen_version: u64,
    seen_row: Option<LeaseRow>,
    seen_at: Option<Duration>,
    pending: Option<Pending>,
    // A write whose answer was lost and which may yet take effect.
    unsettled: Option<Pending>,
    held: Option<Held>,
    // When this node held it last, or may have.
    held_at: Option<Duration>,
    // Newest epoch that this node gave up, and newest that another did.
    given_up: Option<i64>,
    heard_given_up: Option<i64>,
    // A write met another version than the one seen: look again before the next.
    stale: bool,
    // The table was restored from an older copy and no write was seen since, so the row may lack the holder.
    row_may_be_outdated: bool,
    next_call: Duration,
    call: u32,
}

impl Lease {
    /// A lease of which nothing is known yet.
    pub fn new(terms: LeaseTerms) -> Self {
        Lease {
            terms,
            era: None,
            row_may_be_outdated: false,
            seen_version: ABSENT,
            seen_row: None,
            seen_at: None,
            pending: None,
            unsettled: None,
            held: None,
            held_at: None,
            given_up: None,
            heard_given_up: None,
            stale: false,
            next_call: Duration::ZERO,
            call: 0,
        }
    }

    /// The epoch to put on an order sent now, or `None` if no order may be sent. Ask right before
    /// each order.
    pub fn order_epoch(&self, now: Duration) -> Option<i64> {
        self.order_window(now).map(|(epoch, _)| epoch)
    }

    /// The epoch and the time before which an order must be sent, if one may be sent now.
    pub fn order_window(&self, now: Duration) -> Option<(i64, Duration)> {
        let held = self.held.as_ref()?;
        let until = held.until.saturating_sub(self.terms.margin);
        let inside = now >= held.orders_from && now < until;
        inside.then_some((held.epoch, until))
    }

    /// The row that this node wrote last, while it holds the lease.
    pub fn head(&self) -> Option<LeaseHead> {
        let held = self.held.as_ref()?;
        // After a restore the row may be that of an earlier holder until the next renewal.
        self.seen_row
            .as_ref()
            .filter(|row| row.holder == self.terms.node)?;
        Some(LeaseHead {
            version: self.seen_version,
            era: self.era.unwrap_or_default(),
            holder: self.terms.node.clone(),
            epoch: held.epoch,
        })
    }

    /// The newest epoch that this node gave up.
    pub fn given_up(&self) -> Option<i64> {
        self.given_up
    }

    /// How long ago the row was last seen to change, while this node holds the lease.
    pub fn time_since_renewal(&self, now: Duration) -> Option<Duration> {
        self.held.as_ref()?;
        Some(now.saturating_sub(self.seen_at?))
    }

    /// The holder named by the row last read, for `status`.
    pub fn holder(&self) -> Option<(&str, i64)> {
        let row = self.seen_row.as_ref()?;
        Some((row.holder.as_str(), row.epoch))
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: LeaseEvent) -> Vec<LeaseAction> {
        // An earlier process of this node may have held the lease until this one started.
        if self.held.is_some() || self.held_at.is_none() {
            self.held_at = Some(now);
        }
        let mut actions = self.lapse(now);
        match event {
            LeaseEvent::Tick {
                write_id,
                is_candidate,
            } => actions.extend(self.tick(now, write_id, is_candidate)),
            LeaseEvent::Replied { call, .. } if call != self.call => {}
            LeaseEvent::Replied { era, reply, .. } => {
                actions.extend(self.take_reply_from_era(now, era, reply));
            }
            LeaseEvent::HeadReported(head) => actions.extend(self.receive(now, head)),
            LeaseEvent::GiveUpReported(epoch) => {
                if self.heard_given_up < Some(epoch) {
                    self.heard_given_up = Some(epoch);
                    self.next_call = self.next_call.min(now);
                }
            }
            LeaseEvent::GiveUp => actions.extend(self.give_up()),
            LeaseEvent::Release { write_id } => actions.extend(self.release(now, write_id)),
        }
        actions
    }

    fn lapse(&mut self, now: Duration) -> Vec<LeaseAction> {
        match &self.held {
            Some(held) if now >= held.until => {
                self.held = None;
                vec![LeaseAction::Lost]
            }
            _ => Vec::new(),
        }
    }

    // The row was written before its holder reported it, so its lease began before now.
    fn receive(&mut self, now: Duration, head: LeaseHead) -> Vec<LeaseAction> {
        if head.holder == self.terms.node {
            return Vec::new();
        }
        self.enter_era(now, head.era);
        if self.era > Some(head.era) || head.version <= self.seen_version {
            return Vec::new();
        }
        let row = LeaseRow {
            holder: head.holder,
            epoch: head.epoch,
            write: String::new(),
        };
        let actions = self.drop_if_taken(&row);
        self.see(now, head.version, Some(row));
        self.stale = false;
        actions
    }

    // When the era increases, forgets the row and ignores the pending call: a later era reuses versions, and the call
    // may have been made in either era.
    fn enter_era(&mut self, now: Duration, era: u64) {
        // A node that has just started cannot tell how recent the restore is.
        self.row_may_be_outdated |= self.era.unwrap_or_default() < era;
        if self.era.is_some_and(|known| known < era) {
            self.seen_version = ABSENT;
            self.seen_row = None;
            self.seen_at = None;
            self.pending = None;
            self.unsettled = None;
            self.stale = true;
            self.call += 1;
            self.next_call = now;
        }
        self.era = self.era.max(Some(era));
    }

    // Handles a reply from an earlier era as unanswered, and ignores one that reveals a new era. The row is read again.
    fn take_reply_from_era(
        &mut self,
        now: Duration,
        era: Option<u64>,
        reply: Reply,
    ) -> Vec<LeaseAction> {
        let call = self.call;
        if let Some(era) = era {
            self.enter_era(now, era);
        }
        let is_from_earlier_era = era.is_some() && era < self.era;
        match call == self.call {
            true if is_from_earlier_era => self.take_reply(now, Reply::Unanswered),
            true => self.take_reply(now, reply),
            false => Vec::new(),
        }
    }

    fn give_up(&mut self) -> Vec<LeaseAction> {
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        self.given_up = Some(held.epoch);
        // A renewal under way may yet be written; its answer counts no more.
        self.pending = None;
        self.unsettled = None;
        self.call += 1;
        vec![LeaseAction::Lost]
    }

    fn tick(&mut self, now: Duration, write: String, is_candidate: bool) -> Vec<LeaseAction> {
        let stuck = self
            .pending
            .as_ref()
            .is_some_and(|p| now > p.sent_at + self.terms.duration);
        if stuck {
            self.unsettled = self.pending.take().filter(|p| p.row.is_some());
        }
        if self.pending.is_some() || now < self.next_call {
            return Vec::new();
        }
        self.next_call = now + self.terms.interval;
        if self.unsettled.is_some() || self.stale || !self.may_write(now, is_candidate) {
            return self.read(now);
        }
        let epoch = match &self.held {
            Some(held) => held.epoch,
            None => self.next_epoch(),
        };
        let holder = self.terms.node.clone();
        self.write(
            now,
            LeaseRow {
                holder,
                epoch,
                write,
            },
        )
    }

    // Returns an epoch above all earlier ones. After a restore the row may lack the latest epochs, or hold the write of a
    // node that does not know of the restore; only its version still rises with each change of holder.
    fn next_epoch(&self) -> i64 {
        let seen = self.seen_row.as_ref().map_or(0, |row| row.epoch);
        let first_of_era = match self.era.unwrap_or_default().min(MAX_ERA) {
            0 => 0,
            era => era as i64 * EPOCHS_PER_ERA + self.seen_version as i64 % EPOCHS_PER_ERA,
        };
        seen.max(first_of_era) + 1
    }

    // A holder renews; a candidate writes once the row has not changed for a whole lease.
    fn may_write(&self, now: Duration, is_candidate: bool) -> bool {
        if self.held.is_some() {
            return true;
        }
        let Some(seen_at) = self.seen_at else {
            return false;
        };
        let has_no_holder = self
            .seen_row
            .as_ref()
            .is_none_or(|row| row.holder.is_empty());
        let free = has_no_holder && !self.row_may_be_outdated;
        is_candidate && (free || now >= seen_at + self.terms.duration || self.may_follow(now))
    }

    // The holder gave the row's epoch up. A node that held the lease, or may have before it started,
    // does not follow so soon: it would act, another act, and it again within one lease.
    fn may_follow(&self, now: Duration) -> bool {
        let row = self.seen_row.as_ref();
        let given_up = row.is_some_and(|row| self.heard_given_up == Some(row.epoch));
        let rested = self
            .held_at
            .is_none_or(|at| now >= at + self.terms.duration);
        given_up && rested && !self.row_may_be_outdated
    }

    fn read(&mut self, now: Duration) -> Vec<LeaseAction> {
        self.pending = Some(Pending {
            sent_at: now,
            row: None,
        });
        self.number(TableCall::Read(self.terms.key.clone()))
    }

    fn write(&mut self, now: Duration, row: LeaseRow) -> Vec<LeaseAction> {
        let value = schema::encode(&row).unwrap_or_default();
        self.pending = Some(Pending {
            sent_at: now,
            row: Some(row),
        });
        self.number(TableCall::Transact(vec![Write {
            key: self.terms.key.clone(),
            expect: self.seen_version,
            value,
        }]))
    }

    fn number(&mut self, table: TableCall) -> Vec<LeaseAction> {
        self.call += 1;
        vec![LeaseAction::Call {
            call: self.call,
            table,
        }]
    }

    fn take_reply(&mut self, now: Duration, reply: Reply) -> Vec<LeaseAction> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        match reply {
            Reply::Row(row) => self.take_row(now, row),
            Reply::Committed { version } => self.take_commit(now, pending, version),
            Reply::Conflict => {
                self.stale = true;
                self.next_call = now;
                Vec::new()
            }
            Reply::Unanswered => {
                if pending.row.is_some() {
                    self.unsettled = Some(pending);
                    self.next_call = now;
                }
                Vec::new()
            }
            Reply::Refused => Vec::new(),
        }
    }

    fn take_commit(&mut self, now: Duration, pending: Pending, version: u64) -> Vec<LeaseAction> {
        let Some(row) = pending.row else {
            return Vec::new();
        };
        self.see(now, version, Some(row.clone()));
        self.take_hold(now, pending.sent_at, &row)
    }

    fn take_row(&mut self, now: Duration, row: Option<Row>) -> Vec<LeaseAction> {
        self.stale = false;
        let version = row.as_ref().map_or(ABSENT, |r| r.version);
        let decoded = row.and_then(|r| schema::decode::<LeaseRow>(&r.value).ok());
        if self.seen_at.is_none() || version != self.seen_version {
            self.see(now, version, decoded.clone());
        }
        let unsettled = self.unsettled.take();
        let found = decoded.unwrap_or(LeaseRow {
            holder: String::new(),
            epoch: 0,
            write: String::new(),
        });
        if let Some(Pending {
            sent_at,
            row: Some(ours),
        }) = unsettled
        {
            if ours.write == found.write {
                return self.take_hold(now, sent_at, &ours);
            }
        }
        self.drop_if_taken(&found)
    }

    fn see(&mut self, now: Duration, version: u64, row: Option<LeaseRow>) {
        // The first row seen in an era may come from the older copy; a different version shows a later write.
        self.row_may_be_outdated &= self.seen_at.is_none();
        self.seen_version = version;
        self.seen_row = row;
        self.seen_at = Some(now);
    }

    fn drop_if_taken(&mut self, found: &LeaseRow) -> Vec<LeaseAction> {
        match &self.held {
            Some(held) if held.epoch < found.epoch => {
                self.held = None;
                vec![LeaseAction::Lost]
            }
            _ => Vec::new(),
        }
    }

    // The lease counts from before the write was sent: others can see it only later.
    fn take_hold(&mut self, now: Duration, sent_at: Duration, row: &LeaseRow) -> Vec<LeaseAction> {
        if row.holder != self.terms.node {
            self.held = None;
            return vec![LeaseAction::Lost];
        }
        let until = sent_at + self.terms.duration;
        if now >= until {
            return Vec::new();
        }
        if let Some(held) = self.held.as_mut().filter(|h| h.epoch == row.epoch) {
            held.until = held.until.max(until);
            return Vec::new();
        }
        self.held = Some(Held {
            epoch: row.epoch,
            until,
            orders_from: now + self.terms.margin,
        });
        vec![LeaseAction::Gained(row.epoch)]
    }

    fn release(&mut self, now: Duration, write: String) -> Vec<LeaseAction> {
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        let row = LeaseRow {
            holder: String::new(),
            epoch: held.epoch,
            write,
        };
        let mut actions = vec![LeaseAction::Lost];
        actions.extend(self.write(now, row));
        actions
    }
}
