//! Memory accounting of the traffic thread: reservations, waiters, and the choice of the caller to disconnect when memory
//! is short.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use memory::{
    eviction_candidate, AcceptChange, AcceptGate, Budget, EndpointTimeouts, Kind, Ledger,
    ReleaseRate, Reservation, TableSizes,
};
use slog::{info, warn};
use telemetry::{Counter, Gauge};
use tokio::sync::Notify;

use crate::caller::Caller;
use crate::clock::Clock;
use crate::traffic::Traffic;

/// Memory of a caller's connection that has served a request, in bytes, measured with a counting allocator.
pub(crate) const CALLER_CONNECTION_BYTES: u64 = 20 << 10;
/// Memory of a connection to an endpoint and of the request on it without bodies, in bytes, measured in the same way.
pub(crate) const ENDPOINT_CONNECTION_BYTES: u64 = 42 << 10;
/// Read-ahead of a stream in bytes when memory has no limit: some hundred events, about as many as the kernel's buffers
/// hold in addition.
const UNBOUNDED_READ_AHEAD_BYTES: u64 = 128 << 10;
/// Shortest pause in reading that counts as the cause of an interrupted answer. Endpoints are expected to wait for some
/// seconds; an earlier interruption has other causes.
const MIN_UNREAD_TIMEOUT: Duration = Duration::from_secs(1);
/// A longer time between two memory checks means that this process was suspended. Checks are due every 0.1 s.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between updates of the memory metrics.
const METRICS_INTERVAL: Duration = Duration::from_millis(300);

/// Accounts for the memory of callers and endpoints.
#[derive(Debug)]
pub(crate) struct MemoryManager {
    pub(crate) clock: Clock,
    ledger: Ledger,
    released: Rc<Notify>,
    waiters: Cell<u32>,
    gate: Cell<AcceptGate>,
    rate: Cell<ReleaseRate>,
    unread_timeout: Cell<Option<Duration>>,
    callers: RefCell<Vec<Weak<Caller>>>,
    checked_at: Cell<Duration>,
    metrics_set_at: Cell<Duration>,
}

// Counts a task that waits for memory, until it has it or is cancelled.
struct WaitGuard<'a>(&'a Cell<u32>);

impl<'a> WaitGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        WaitGuard(count)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl MemoryManager {
    /// Creates the manager of a VM with `mib` MiB of memory; 0 sets no limit.
    pub fn new(clock: Clock, mib: u64) -> Self {
        let released = Rc::new(Notify::new());
        let on_release = Rc::clone(&released);
        let budget = Budget::of_vm(mib, TableSizes::default());
        MemoryManager {
            clock,
            ledger: Ledger::new(budget, move || on_release.notify_waiters()),
            released,
            waiters: Cell::default(),
            gate: Cell::default(),
            rate: Cell::default(),
            unread_timeout: Cell::default(),
            callers: RefCell::default(),
            checked_at: Cell::default(),
            metrics_set_at: Cell::default(),
        }
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether memory has a limit.
    pub fn is_bounded(&self) -> bool {
        self.ledger.budget().max_bytes.is_some()
    }

    /// Whether accepting connections is paused because memory is short.
    pub fn is_paused(&self) -> bool {
        self.gate.get().is_paused()
    }

    /// Opens the account of an accepted caller; `None` if there is no memory for its connection.
    pub fn open_caller(&self) -> Option<Rc<Caller>> {
        let account = self.ledger.open_account();
        let mut connection = account.reservation(Kind::Connection);
        if !connection.grow(CALLER_CONNECTION_BYTES) {
            return None;
        }
        let caller = Rc::new(Caller::new(self.clock, account, connection));
        self.callers.borrow_mut().push(Rc::downgrade(&caller));
        Some(caller)
    }

    /// Waits until memory is released.
    pub async fn wait_for_release(&self) {
        self.released.notified().await;
    }

    /// Adds `bytes` to a reservation, waiting for memory if needed. Cancelling reserves nothing.
    pub async fn reserve(&self, reservation: &mut Reservation, bytes: u64) {
        if reservation.grow(bytes) {
            return;
        }
        let _guard = WaitGuard::new(&self.waiters);
        loop {
            let released = self.released.notified();
            if reservation.grow(bytes) {
                return;
            }
            released.await;
        }
    }

    /// Adds `bytes` to the reservation of an answer that is read ahead, if there is memory now.
    pub fn try_reserve_read_ahead(
        &self,
        caller: &Caller,
        reservation: &mut Reservation,
        bytes: u64,
    ) -> bool {
        let unsent = caller.unsent_bytes();
        let can_read_ahead =
            self.is_bounded() || unsent == 0 || unsent + bytes <= UNBOUNDED_READ_AHEAD_BYTES;
        can_read_ahead && reservation.grow(bytes)
    }

    /// Waits until [`try_reserve_read_ahead`](Self::try_reserve_read_ahead) succeeds. Cancelling reserves nothing.
    pub async fn reserve_read_ahead(
        &self,
        caller: &Caller,
        reservation: &mut Reservation,
        bytes: u64,
    ) {
        let _guard = WaitGuard::new(&self.waiters);
        loop {
            let released = self.released.notified();
            if self.try_reserve_read_ahead(caller, reservation, bytes) {
                return;
            }
            released.await;
        }
    }

    /// Retry delay of a caller that was refused because `bytes` were lacking.
    pub fn retry_after(&self, bytes: u64) -> Duration {
        self.rate.get().time_until_free(bytes)
    }

    /// Records that an endpoint interrupted an answer that had not been read for `unread`. Returns the time after which
    /// endpoints end unread answers if this shortened it.
    pub fn record_unread_interruption(&self, unread: Duration) -> Option<Duration> {
        let known = self.unread_timeout.get().unwrap_or(Duration::MAX);
        if unread < MIN_UNREAD_TIMEOUT || unread >= known {
            return None;
        }
        self.unread_timeout.set(Some(unread));
        Some(unread)
    }

    fn check(&self, now: Duration, budget: Budget) -> Option<AcceptChange> {
        self.ledger.set_budget(budget);
        let mut rate = self.rate.get();
        rate.sample(now, self.ledger.released());
        self.rate.set(rate);
        self.check_gate()
    }

    fn check_gate(&self) -> Option<AcceptChange> {
        let mut gate = self.gate.get();
        let turn = gate.update(self.ledger.total(), self.ledger.budget());
        self.gate.set(gate);
        turn
    }

    // The caller to disconnect for its memory, if another task waits for memory.
    fn caller_to_disconnect(&self, now: Duration) -> Option<Rc<Caller>> {
        let mut callers = self.callers.borrow_mut();
        callers.retain(|caller| caller.strong_count() > 0);
        let since_check = now.saturating_sub(self.checked_at.replace(now));
        if since_check > MAX_CHECK_INTERVAL {
            // This process was suspended; the callers weren't stalled.
            let callers = callers.iter().filter_map(Weak::upgrade);
            callers.for_each(|caller| caller.reset_progress(now));
        }
        // Without a limit no task waits for the memory of another.
        if self.waiters.get() == 0 || !self.is_bounded() {
            return None;
        }
        let callers: Vec<Rc<Caller>> = callers.iter().filter_map(Weak::upgrade).collect();
        let deliveries: Vec<_> = callers.iter().map(|caller| caller.delivery(now)).collect();
        let timeouts = EndpointTimeouts {
            cut_after: self.unread_timeout.get(),
        };
        eviction_candidate(&deliveries, timeouts).map(|i| Rc::clone(&callers[i]))
    }
}

impl<D> Traffic<D> {
    /// Applies the current budget and disconnects the slowest caller if others wait for its memory.
    pub fn check_memory(&self) {
        let now = self.clock.now();
        let (mib, tables) = {
            let state = self.state.borrow();
            let tables = TableSizes {
                endpoints: state.balancer.endpoint_count() as u64,
                gateways: state.fleet.gateways as u64,
            };
            (state.settings.memory_mib.max(0) as u64, tables)
        };
        let turn = self.room.check(now, Budget::of_vm(mib, tables));
        self.log_accept_change(turn);
        if now.saturating_sub(self.room.metrics_set_at.get()) >= METRICS_INTERVAL {
            self.room.metrics_set_at.set(now);
            self.set_metrics();
        }
        let Some(caller) = self.room.caller_to_disconnect(now) else {
            return;
        };
        let delivery = caller.delivery(now);
        self.metrics.count(Counter::MemoryInterruptions);
        warn!(self.log, "answer cut off"; "id" => caller.request_id(),
            "cause" => "the caller reads too slowly and others need its memory",
            "held" => delivery.held, "stalled_ms" => delivery.stalled.as_millis() as u64,
            "unread_ms" => delivery.unread.map(|time| time.as_millis() as u64),
            "held_in_all" => self.room.ledger.total(),
            "budget" => self.room.ledger.budget().max_bytes);
        caller.close_requested.notify_one();
    }

    /// Whether a connection can be accepted now.
    pub fn can_accept(&self) -> bool {
        let turn = self.room.check_gate();
        self.log_accept_change(turn);
        !self.room.is_paused()
    }

    fn log_accept_change(&self, turn: Option<AcceptChange>) {
        let ledger = &self.room.ledger;
        let (held, budget) = (ledger.total(), ledger.budget().max_bytes);
        let connections = ledger.held(Kind::Connection);
        match turn {
            Some(AcceptChange::Paused) => {
                self.metrics.count(Counter::AcceptPaused);
                warn!(self.log, "no connections taken for want of memory"; "held" => held,
                    "budget" => budget, "of_connections" => connections);
            }
            Some(AcceptChange::Resumed) => {
                info!(self.log, "connections taken again"; "held" => held, "budget" => budget,
                    "of_connections" => connections);
            }
            None => {}
        }
    }

    fn set_metrics(&self) {
        let ledger = &self.room.ledger;
        for kind in Kind::ALL {
            self.metrics.set(gauge_of(kind), ledger.held(kind));
        }
        self.metrics.set(Gauge::HeldPeak, ledger.peak());
        let max = ledger.budget().max_bytes;
        self.metrics.set(Gauge::Budget, max.unwrap_or_default());
    }
}

fn gauge_of(kind: Kind) -> Gauge {
    match kind {
        Kind::BodyRead => Gauge::BodiesRead,
        Kind::BodyKept => Gauge::BodiesKept,
        Kind::ReadAhead => Gauge::ReadAhead,
        Kind::WholeAnswer => Gauge::WholeAnswers,
        Kind::Connection => Gauge::Connections,
    }
}
