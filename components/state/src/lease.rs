//! A lease on fleet work, with an increasing epoch as its fencing token.
//!
//! Clocks of different nodes are never compared. A holder counts the duration of its lease from just before it sent the
//! write that renewed it; other nodes count from when they first saw the new version of the row, which is later. A holder
//! stops sending orders one margin before its lease ends, which covers the longest order. A new holder starts sending
//! orders one margin after it acquired the lease, which covers a pause of the old holder between its check of the lease
//! and the order. The last order of a holder thus reaches an endpoint before the first order of the next holder, even
//! where endpoints do not check the fencing token.

use std::time::Duration;

use schema::messages::LeaseRow;

use crate::table::{Reply, Row, TableCall, Write, ABSENT};

/// Number of epochs reserved for each era of the table: one per version of the row.
const EPOCHS_PER_ERA: i64 = 1 << 40;
/// Highest era with its own range of epochs. Keeps epochs within `i64`.
const MAX_ERA: u64 = 1 << 22;

/// Parameters of a lease.
#[derive(Clone, Debug)]
pub struct LeaseTerms {
    /// Key of the row of the lease.
    pub key: String,
    /// Name of this node.
    pub node: String,
    /// Time for which a renewal is valid.
    pub duration: Duration,
    /// Longest time that an order takes to reach its endpoint and complete there.
    pub margin: Duration,
    /// Interval between renewals by the holder and between reads by other nodes.
    pub interval: Duration,
}

/// An event that a lease handles.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// Time passed.
    Tick {
        /// Unique id of the write that may follow.
        write_id: String,
        /// Whether this node may acquire the lease.
        is_candidate: bool,
    },
    /// A table call ended. Replies to any but the last requested call are ignored.
    Replied {
        /// Number of the call.
        call: u32,
        /// Era of the table that replied; `None` if the reply carries none.
        era: Option<u64>,
        /// Its reply.
        reply: Reply,
    },
    /// The holder reported the row that it wrote last.
    HeadReported(LeaseHead),
    /// A holder reported that it gave up the lease of this epoch and has no order in flight.
    GiveUpReported(i64),
    /// Give up the lease without a write, as when the store does not answer this node. The epoch from
    /// [`Lease::given_up`], reported to other nodes, lets one of them take over at once.
    GiveUp,
    /// Give up the lease with a write, because the node stops.
    Release {
        /// Unique id of the write.
        write_id: String,
    },
}

/// The newest row of a lease, as its holder reports it to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHead {
    /// Version of the row.
    pub version: u64,
    /// Era of the table in which the version is valid.
    pub era: u64,
    /// Name of the holder.
    pub holder: String,
    /// Epoch of the lease.
    pub epoch: i64,
}

/// An action that a lease requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Make a table call and pass its reply to the lease.
    Call {
        /// Number of the call.
        call: u32,
        /// The call.
        table: TableCall,
    },
    /// This node holds the lease with this epoch.
    Gained(i64),
    /// This node no longer holds the lease.
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
    // A write whose answer was lost and which may have taken effect or may still do so.
    unresolved: Option<Pending>,
    held: Option<Held>,
    // When this node last held the lease, or may have held it.
    last_held_at: Option<Duration>,
    // Newest epoch that this node gave up.
    given_up: Option<i64>,
    // Newest epoch that another node reported as given up.
    reported_given_up: Option<i64>,
    // The version of the row is not the one last seen, so the row has to be read before the next write.
    needs_read: bool,
    // The table was restored from an older copy and no later write was seen, so the row may not name the current holder.
    row_may_be_outdated: bool,
    next_call: Duration,
    call: u32,
}

impl Lease {
    /// Creates a lease of which nothing is known yet.
    pub fn new(terms: LeaseTerms) -> Self {
        Lease {
            terms,
            era: None,
            row_may_be_outdated: false,
            seen_version: ABSENT,
            seen_row: None,
            seen_at: None,
            pending: None,
            unresolved: None,
            held: None,
            last_held_at: None,
            given_up: None,
            reported_given_up: None,
            needs_read: false,
            next_call: Duration::ZERO,
            call: 0,
        }
    }

    /// The epoch to put on an order sent now, as its fencing token, or `None` if no order may be sent. Has to be called
    /// right before each order.
    pub fn order_epoch(&self, now: Duration) -> Option<i64> {
        self.order_window(now).map(|(epoch, _)| epoch)
    }

    /// The epoch and the time before which an order must be sent, if one may be sent now.
    pub fn order_window(&self, now: Duration) -> Option<(i64, Duration)> {
        let held = self.held.as_ref()?;
        let until = held.until.saturating_sub(self.terms.margin);
        let is_in_window = now >= held.orders_from && now < until;
        is_in_window.then_some((held.epoch, until))
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

    /// Time since the row was last seen to change, or `None` if this node does not hold the lease.
    pub fn time_since_renewal(&self, now: Duration) -> Option<Duration> {
        self.held.as_ref()?;
        Some(now.saturating_sub(self.seen_at?))
    }

    /// Holder and epoch in the newest known row, for `status`.
    pub fn holder(&self) -> Option<(&str, i64)> {
        let row = self.seen_row.as_ref()?;
        Some((row.holder.as_str(), row.epoch))
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Duration, event: LeaseEvent) -> Vec<LeaseAction> {
        // An earlier process of this node may have held the lease until this process started.
        if self.held.is_some() || self.last_held_at.is_none() {
            self.last_held_at = Some(now);
        }
        let mut actions = self.expire(now);
        match event {
            LeaseEvent::Tick {
                write_id,
                is_candidate,
            } => actions.extend(self.tick(now, write_id, is_candidate)),
            LeaseEvent::Replied { call, .. } if call != self.call => {}
            LeaseEvent::Replied { era, reply, .. } => {
                actions.extend(self.handle_reply_from_era(now, era, reply));
            }
            LeaseEvent::HeadReported(head) => actions.extend(self.handle_reported_head(now, head)),
            LeaseEvent::GiveUpReported(epoch) => {
                if self.reported_given_up < Some(epoch) {
                    self.reported_given_up = Some(epoch);
                    self.next_call = self.next_call.min(now);
                }
            }
            LeaseEvent::GiveUp => actions.extend(self.give_up()),
            LeaseEvent::Release { write_id } => actions.extend(self.release(now, write_id)),
        }
        actions
    }

    fn expire(&mut self, now: Duration) -> Vec<LeaseAction> {
        match &self.held {
            Some(held) if now >= held.until => {
                self.held = None;
                vec![LeaseAction::Lost]
            }
            _ => Vec::new(),
        }
    }

    // The row was written before its holder reported it, so counting the lease from now is late enough.
    fn handle_reported_head(&mut self, now: Duration, head: LeaseHead) -> Vec<LeaseAction> {
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
        let actions = self.lose_if_superseded(&row);
        self.record_row(now, head.version, Some(row));
        self.needs_read = false;
        actions
    }

    // When the era increases, forgets the row and ignores the reply to the pending call: a later era reuses versions, and
    // the call may have been made in either era.
    fn enter_era(&mut self, now: Duration, era: u64) {
        // A node that has just started cannot tell how recent the restore is.
        self.row_may_be_outdated |= self.era.unwrap_or_default() < era;
        if self.era.is_some_and(|known| known < era) {
            self.seen_version = ABSENT;
            self.seen_row = None;
            self.seen_at = None;
            self.pending = None;
            self.unresolved = None;
            self.needs_read = true;
            self.call += 1;
            self.next_call = now;
        }
        self.era = self.era.max(Some(era));
    }

    // Handles a reply from an earlier era as unanswered, and ignores one that reveals a new era. The row is read again.
    fn handle_reply_from_era(
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
            true if is_from_earlier_era => self.handle_reply(now, Reply::Unanswered),
            true => self.handle_reply(now, reply),
            false => Vec::new(),
        }
    }

    fn give_up(&mut self) -> Vec<LeaseAction> {
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        self.given_up = Some(held.epoch);
        // A renewal in flight may still be written. Its answer is ignored.
        self.pending = None;
        self.unresolved = None;
        self.call += 1;
        vec![LeaseAction::Lost]
    }

    fn tick(&mut self, now: Duration, write: String, is_candidate: bool) -> Vec<LeaseAction> {
        let has_timed_out = self
            .pending
            .as_ref()
            .is_some_and(|p| now > p.sent_at + self.terms.duration);
        if has_timed_out {
            self.unresolved = self.pending.take().filter(|p| p.row.is_some());
        }
        if self.pending.is_some() || now < self.next_call {
            return Vec::new();
        }
        self.next_call = now + self.terms.interval;
        if self.unresolved.is_some() || self.needs_read || !self.can_write(now, is_candidate) {
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

    // Returns an epoch above all earlier ones. After a restore the row may lack the latest epochs, or contain the write of
    // a node that does not know of the restore. Its version still increases with each change of holder.
    fn next_epoch(&self) -> i64 {
        let seen = self.seen_row.as_ref().map_or(0, |row| row.epoch);
        let first_of_era = match self.era.unwrap_or_default().min(MAX_ERA) {
            0 => 0,
            era => era as i64 * EPOCHS_PER_ERA + self.seen_version as i64 % EPOCHS_PER_ERA,
        };
        seen.max(first_of_era) + 1
    }

    // A holder may renew. A candidate may write if the lease is free or given up, or the row has not changed for the duration
    // of a lease.
    fn can_write(&self, now: Duration, is_candidate: bool) -> bool {
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
        let is_free = has_no_holder && !self.row_may_be_outdated;
        is_candidate && (is_free || now >= seen_at + self.terms.duration || self.can_take_over(now))
    }

    // The holder gave up the epoch in the row. A node that recently held the lease, or may have before it started, does not
    // take over: the holder would otherwise change twice, back to this node, within the duration of one lease.
    fn can_take_over(&self, now: Duration) -> bool {
        let row = self.seen_row.as_ref();
        let is_given_up = row.is_some_and(|row| self.reported_given_up == Some(row.epoch));
        let is_past_cooldown = self
            .last_held_at
            .is_none_or(|at| now >= at + self.terms.duration);
        is_given_up && is_past_cooldown && !self.row_may_be_outdated
    }

    fn read(&mut self, now: Duration) -> Vec<LeaseAction> {
        self.pending = Some(Pending {
            sent_at: now,
            row: None,
        });
        self.numbered_call(TableCall::Read(self.terms.key.clone()))
    }

    fn write(&mut self, now: Duration, row: LeaseRow) -> Vec<LeaseAction> {
        let value = schema::encode(&row).unwrap_or_default();
        self.pending = Some(Pending {
            sent_at: now,
            row: Some(row),
        });
        self.numbered_call(TableCall::Transact(vec![Write {
            key: self.terms.key.clone(),
            expect: self.seen_version,
            value,
        }]))
    }

    fn numbered_call(&mut self, table: TableCall) -> Vec<LeaseAction> {
        self.call += 1;
        vec![LeaseAction::Call {
            call: self.call,
            table,
        }]
    }

    fn handle_reply(&mut self, now: Duration, reply: Reply) -> Vec<LeaseAction> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        match reply {
            Reply::Row(row) => self.handle_row(now, row),
            Reply::Committed { version } => self.handle_commit(now, pending, version),
            Reply::Conflict => {
                self.needs_read = true;
                self.next_call = now;
                Vec::new()
            }
            Reply::Unanswered => {
                if pending.row.is_some() {
                    self.unresolved = Some(pending);
                    self.next_call = now;
                }
                Vec::new()
            }
            Reply::Refused => Vec::new(),
        }
    }

    fn handle_commit(&mut self, now: Duration, pending: Pending, version: u64) -> Vec<LeaseAction> {
        let Some(row) = pending.row else {
            return Vec::new();
        };
        self.record_row(now, version, Some(row.clone()));
        self.gain_or_renew(now, pending.sent_at, &row)
    }

    fn handle_row(&mut self, now: Duration, row: Option<Row>) -> Vec<LeaseAction> {
        self.needs_read = false;
        let version = row.as_ref().map_or(ABSENT, |r| r.version);
        let decoded = row.and_then(|r| schema::decode::<LeaseRow>(&r.value).ok());
        if self.seen_at.is_none() || version != self.seen_version {
            self.record_row(now, version, decoded.clone());
        }
        let unresolved = self.unresolved.take();
        let found = decoded.unwrap_or(LeaseRow {
            holder: String::new(),
            epoch: 0,
            write: String::new(),
        });
        if let Some(Pending {
            sent_at,
            row: Some(ours),
        }) = unresolved
        {
            if ours.write == found.write {
                return self.gain_or_renew(now, sent_at, &ours);
            }
        }
        self.lose_if_superseded(&found)
    }

    fn record_row(&mut self, now: Duration, version: u64, row: Option<LeaseRow>) {
        // The first row seen in an era may come from the older copy. A different version shows a later write.
        self.row_may_be_outdated &= self.seen_at.is_none();
        self.seen_version = version;
        self.seen_row = row;
        self.seen_at = Some(now);
    }

    fn lose_if_superseded(&mut self, found: &LeaseRow) -> Vec<LeaseAction> {
        match &self.held {
            Some(held) if held.epoch < found.epoch => {
                self.held = None;
                vec![LeaseAction::Lost]
            }
            _ => Vec::new(),
        }
    }

    // The lease is counted from before the write was sent, since other nodes can only see the write later.
    fn gain_or_renew(
        &mut self,
        now: Duration,
        sent_at: Duration,
        row: &LeaseRow,
    ) -> Vec<LeaseAction> {
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
