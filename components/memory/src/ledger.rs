//! Ledger of reserved bytes, by kind and by request.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use crate::budget::Budget;

/// What bytes are reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A caller's request body that is being read.
    BodyRead,
    /// A complete request body, kept until it is sent and need not be sent again.
    BodyKept,
    /// Events of a stream that the caller has not read yet.
    ReadAhead,
    /// An answer that is buffered as a whole, complete or still being read.
    WholeAnswer,
    /// Open connections, each at its measured cost.
    Connection,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 5] = [
        Kind::BodyRead,
        Kind::BodyKept,
        Kind::ReadAhead,
        Kind::WholeAnswer,
        Kind::Connection,
    ];

    fn index(self) -> usize {
        self as usize
    }
}

#[derive(Debug)]
struct Totals {
    budget: Cell<Budget>,
    by_kind: [Cell<u64>; Kind::ALL.len()],
    total: Cell<u64>,
    peak: Cell<u64>,
    released: Cell<u64>,
    // Accounts that hold something besides connections.
    holders: Cell<u64>,
}

/// The ledger of one process. Clones share it.
#[derive(Clone)]
pub struct Ledger {
    totals: Rc<Totals>,
    on_release: Rc<dyn Fn()>,
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Ledger").field(&self.totals).finish()
    }
}

impl Ledger {
    /// An empty ledger; `on_release` is called after each release of bytes by dropping a reservation.
    pub fn new(budget: Budget, on_release: impl Fn() + 'static) -> Self {
        let totals = Totals {
            budget: Cell::new(budget),
            by_kind: Default::default(),
            total: Cell::new(0),
            peak: Cell::new(0),
            released: Cell::new(0),
            holders: Cell::new(0),
        };
        Ledger {
            totals: Rc::new(totals),
            on_release: Rc::new(on_release),
        }
    }

    /// Opens the account of one request or connection.
    pub fn open_account(&self) -> Account {
        Account {
            ledger: self.clone(),
            held: Rc::new(Cell::new(0)),
        }
    }

    /// Sets the budget. Existing reservations stay valid, even beyond the new budget.
    pub fn set_budget(&self, budget: Budget) {
        self.totals.budget.set(budget);
    }

    /// The current budget.
    pub fn budget(&self) -> Budget {
        self.totals.budget.get()
    }

    /// Bytes held in all.
    pub fn total(&self) -> u64 {
        self.totals.total.get()
    }

    /// Bytes held for one kind.
    pub fn held(&self, kind: Kind) -> u64 {
        self.totals.by_kind[kind.index()].get()
    }

    /// Maximum of bytes held at once since the start.
    pub fn peak(&self) -> u64 {
        self.totals.peak.get()
    }

    /// Total of bytes released since the start.
    pub fn released(&self) -> u64 {
        self.totals.released.get()
    }

    /// Number of accounts that hold something besides connections.
    pub fn holders(&self) -> u64 {
        self.totals.holders.get()
    }

    /// Bytes that one request may hold while the common pool is used up.
    pub fn share(&self) -> u64 {
        self.budget().share(self.holders())
    }

    fn fits(&self, kind: Kind, held: u64, more: u64) -> bool {
        let budget = self.budget();
        let total = self.total().saturating_add(more);
        let is_within_share = kind == Kind::Connection || held.saturating_add(more) <= self.share();
        total <= budget.common_pool()
            || (is_within_share && budget.max_bytes.is_none_or(|max_bytes| total <= max_bytes))
    }

    fn add(&self, kind: Kind, bytes: u64) {
        let held = &self.totals.by_kind[kind.index()];
        held.set(held.get() + bytes);
        let total = self.total() + bytes;
        self.totals.total.set(total);
        self.totals.peak.set(self.totals.peak.get().max(total));
    }

    fn remove(&self, kind: Kind, bytes: u64) {
        let held = &self.totals.by_kind[kind.index()];
        held.set(held.get() - bytes);
        self.totals.total.set(self.totals.total.get() - bytes);
    }
}

/// The account of one request or connection. Clones share it.
#[derive(Clone, Debug)]
pub struct Account {
    ledger: Ledger,
    held: Rc<Cell<u64>>,
}

impl Account {
    /// An empty reservation for this account.
    pub fn reservation(&self, kind: Kind) -> Reservation {
        Reservation {
            account: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Bytes held for this account, excluding connections.
    pub fn held(&self) -> u64 {
        self.held.get()
    }

    fn add(&self, kind: Kind, bytes: u64) {
        self.ledger.add(kind, bytes);
        if kind == Kind::Connection || bytes == 0 {
            return;
        }
        if self.held.get() == 0 {
            let holders = &self.ledger.totals.holders;
            holders.set(holders.get() + 1);
        }
        self.held.set(self.held.get() + bytes);
    }

    fn remove(&self, kind: Kind, bytes: u64) {
        self.ledger.remove(kind, bytes);
        if kind == Kind::Connection || bytes == 0 {
            return;
        }
        self.held.set(self.held.get() - bytes);
        if self.held.get() == 0 {
            let holders = &self.ledger.totals.holders;
            holders.set(holders.get() - 1);
        }
    }
}

/// Reserved bytes, released on drop.
#[derive(Debug)]
pub struct Reservation {
    account: Account,
    kind: Kind,
    bytes: u64,
}

impl Reservation {
    /// Bytes reserved.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves `more` bytes in addition. Returns false and reserves nothing if they don't fit.
    pub fn grow(&mut self, more: u64) -> bool {
        let account = &self.account;
        if !account.ledger.fits(self.kind, account.held(), more) {
            return false;
        }
        self.account.add(self.kind, more);
        self.bytes += more;
        true
    }

    /// Moves `bytes`, or all bytes if there are fewer, into a separate reservation.
    pub fn split(&mut self, bytes: u64) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation {
            account: self.account.clone(),
            kind: self.kind,
            bytes,
        }
    }

    /// Releases `bytes`, or all bytes if there are fewer.
    pub fn shrink(&mut self, bytes: u64) {
        drop(self.split(bytes));
    }

    /// Changes what the bytes are reserved for.
    pub fn change_kind(&mut self, kind: Kind) {
        self.account.remove(self.kind, self.bytes);
        self.account.add(kind, self.bytes);
        self.kind = kind;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        self.account.remove(self.kind, self.bytes);
        let ledger = &self.account.ledger;
        let released = &ledger.totals.released;
        released.set(released.get() + self.bytes);
        (ledger.on_release)();
    }
}
