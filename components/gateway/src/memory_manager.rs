//! The memory of the traffic thread: who holds it, who waits for it, and who gives it back first.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use memory::{slowest, Budget, Hold, Kind, Ledger, PauseGate, ReleaseRate, Tables, Terms, Turn};
use slog::{info, warn};
use telemetry::{Counter, Gauge};
use tokio::sync::Notify;

use crate::caller::Caller;
use crate::clock::Clock;
use crate::traffic::Traffic;

/// Cost of a caller's connection that has served a request, in bytes, measured by an allocator that counts.
pub(crate) const CALLER_CONNECTION: u64 = 20 << 10;
/// Cost of a connection to an endpoint and of the request on it, bodies aside, in bytes, measured in the same way.
pub(crate) const ENDPOINT_CONNECTION: u64 = 40 << 10;
/// Where memory has no bound, a stream is read ahead up to this many bytes only: some hundred events, as many as the
/// kernel's buffers hold besides.
const UNBOUNDED_AHEAD: u64 = 128 << 10;
/// Shortest pause in reading after which an endpoint's end counts as its answer to the pause. Endpoints are said to wait
/// for some seconds; a break sooner has other causes.
const LEAST_CUT: Duration = Duration::from_secs(1);
/// Time between two looks at what is held above which this process stood still meanwhile; they are due each 0.1 s.
const LONGEST_LOOK: Duration = Duration::from_secs(1);

/// Pause between two times that what is held is shown.
const SHOW_PAUSE: Duration = Duration::from_millis(300);

/// Memory for callers and endpoints.
#[derive(Debug)]
pub(crate) struct MemoryManager {
    pub(crate) clock: Clock,
    ledger: Ledger,
    released: Rc<Notify>,
    waiting: Cell<u32>,
    gate: Cell<PauseGate>,
    rate: Cell<ReleaseRate>,
    cut_after: Cell<Option<Duration>>,
    callers: RefCell<Vec<Weak<Caller>>>,
    looked_at: Cell<Duration>,
    shown_at: Cell<Duration>,
}

// Counts one that waits for memory, until it has it or leaves.
struct Waiting<'a>(&'a Cell<u32>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl MemoryManager {
    /// Nothing held yet, on a VM of so many MiB; 0 sets no bound.
    pub fn new(clock: Clock, mib: u64) -> Self {
        let released = Rc::new(Notify::new());
        let on_release = Rc::clone(&released);
        let budget = Budget::of_vm(mib, Tables::default());
        MemoryManager {
            clock,
            ledger: Ledger::new(budget, move || on_release.notify_waiters()),
            released,
            waiting: Cell::default(),
            gate: Cell::default(),
            rate: Cell::default(),
            cut_after: Cell::default(),
            callers: RefCell::default(),
            looked_at: Cell::default(),
            shown_at: Cell::default(),
        }
    }

    /// The ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether memory is bounded at all.
    pub fn is_bounded(&self) -> bool {
        self.ledger.budget().most.is_some()
    }

    /// Whether no connection is taken for want of memory.
    pub fn is_paused(&self) -> bool {
        self.gate.get().is_paused()
    }

    /// A caller that was accepted, unless its connection finds no room.
    pub fn open_caller(&self) -> Option<Rc<Caller>> {
        let account = self.ledger.open();
        let mut connection = account.hold(Kind::Connection);
        if !connection.grow(CALLER_CONNECTION) {
            return None;
        }
        let caller = Rc::new(Caller::new(self.clock, account, connection));
        self.callers.borrow_mut().push(Rc::downgrade(&caller));
        Some(caller)
    }

    /// Waits until something is given back.
    pub async fn wait_for_release(&self) {
        self.released.notified().await;
    }

    /// Waits until a hold has so many bytes more. Cancelling reserves nothing.
    pub async fn reserve(&self, hold: &mut Hold, bytes: u64) {
        if hold.grow(bytes) {
            return;
        }
        let _waiting = Waiting::new(&self.waiting);
        loop {
            let released = self.released.notified();
            if hold.grow(bytes) {
                return;
            }
            released.await;
        }
    }

    /// Reserves bytes of an answer that is read ahead, if there is room now.
    pub fn try_reserve_read_ahead(&self, caller: &Caller, hold: &mut Hold, bytes: u64) -> bool {
        let waiting = caller.unsent_bytes();
        let ahead = self.is_bounded() || waiting == 0 || waiting + bytes <= UNBOUNDED_AHEAD;
        ahead && hold.grow(bytes)
    }

    /// The same, once there is room. Cancelling reserves nothing.
    pub async fn reserve_read_ahead(&self, caller: &Caller, hold: &mut Hold, bytes: u64) {
        let _waiting = Waiting::new(&self.waiting);
        loop {
            let released = self.released.notified();
            if self.try_reserve_read_ahead(caller, hold, bytes) {
                return;
            }
            released.await;
        }
    }

    /// When a caller who was refused for want of so many bytes is to come back.
    pub fn retry_after(&self, bytes: u64) -> Duration {
        self.rate.get().wait_for(bytes)
    }

    /// An endpoint ended its answer after it had not been read for a time. Returns what is now known of endpoints, if it
    /// is news.
    pub fn record_unread_interruption(&self, unread: Duration) -> Option<Duration> {
        let known = self.cut_after.get().unwrap_or(Duration::MAX);
        if unread < LEAST_CUT || unread >= known {
            return None;
        }
        self.cut_after.set(Some(unread));
        Some(unread)
    }

    fn look(&self, now: Duration, budget: Budget) -> Option<Turn> {
        self.ledger.set_budget(budget);
        let mut rate = self.rate.get();
        rate.sample(now, self.ledger.released());
        self.rate.set(rate);
        self.look_at_gate()
    }

    fn look_at_gate(&self) -> Option<Turn> {
        let mut gate = self.gate.get();
        let turn = gate.look(self.ledger.total(), self.ledger.budget());
        self.gate.set(gate);
        turn
    }

    // The caller that is to give its memory back, if somebody waits for some.
    fn victim(&self, now: Duration) -> Option<Rc<Caller>> {
        let mut callers = self.callers.borrow_mut();
        callers.retain(|caller| caller.strong_count() > 0);
        let since = now.saturating_sub(self.looked_at.replace(now));
        if since > LONGEST_LOOK {
            // This process stood still, not the callers.
            let callers = callers.iter().filter_map(Weak::upgrade);
            callers.for_each(|caller| caller.reset_progress(now));
        }
        // Where memory has no bound nobody waits for another one.
        if self.waiting.get() == 0 || !self.is_bounded() {
            return None;
        }
        let callers: Vec<Rc<Caller>> = callers.iter().filter_map(Weak::upgrade).collect();
        let deliveries: Vec<_> = callers.iter().map(|caller| caller.delivery(now)).collect();
        let terms = Terms {
            cut_after: self.cut_after.get(),
        };
        slowest(&deliveries, terms).map(|i| Rc::clone(&callers[i]))
    }
}

impl<D> Traffic<D> {
    /// Looks at what is held: puts the budget in force, and ends the slowest caller if others wait for its memory.
    pub fn check_memory(&self) {
        let now = self.clock.now();
        let (mib, tables) = {
            let state = self.state.borrow();
            let tables = Tables {
                endpoints: state.board.endpoint_count() as u64,
                gateways: state.fleet.gateways as u64,
            };
            (state.settings.memory_mib.max(0) as u64, tables)
        };
        let turn = self.room.look(now, Budget::of_vm(mib, tables));
        self.note_turn(turn);
        if now.saturating_sub(self.room.shown_at.get()) >= SHOW_PAUSE {
            self.room.shown_at.set(now);
            self.show_memory();
        }
        let Some(caller) = self.room.victim(now) else {
            return;
        };
        let delivery = caller.delivery(now);
        self.metrics.count(Counter::MemoryCut);
        warn!(self.log, "answer cut off"; "id" => caller.request_id(),
            "cause" => "the caller reads too slowly and others need its memory",
            "held" => delivery.held, "stalled_ms" => delivery.stalled.as_millis() as u64,
            "unread_ms" => delivery.unread.map(|time| time.as_millis() as u64),
            "held_in_all" => self.room.ledger.total(),
            "budget" => self.room.ledger.budget().most);
        caller.close_requested.notify_one();
    }

    /// Whether a connection may be taken now.
    pub fn can_accept(&self) -> bool {
        let turn = self.room.look_at_gate();
        self.note_turn(turn);
        !self.room.is_paused()
    }

    fn note_turn(&self, turn: Option<Turn>) {
        let ledger = &self.room.ledger;
        let (held, budget) = (ledger.total(), ledger.budget().most);
        let connections = ledger.held(Kind::Connection);
        match turn {
            Some(Turn::Paused) => {
                self.metrics.count(Counter::AcceptPaused);
                warn!(self.log, "no connections taken for want of memory"; "held" => held,
                    "budget" => budget, "of_connections" => connections);
            }
            Some(Turn::Resumed) => {
                info!(self.log, "connections taken again"; "held" => held, "budget" => budget,
                    "of_connections" => connections);
            }
            None => {}
        }
    }

    fn show_memory(&self) {
        let ledger = &self.room.ledger;
        for kind in Kind::ALL {
            self.metrics.set(gauge_of(kind), ledger.held(kind));
        }
        self.metrics.set(Gauge::HeldPeak, ledger.peak());
        let most = ledger.budget().most;
        self.metrics.set(Gauge::Budget, most.unwrap_or_default());
    }
}

fn gauge_of(kind: Kind) -> Gauge {
    match kind {
        Kind::BodyRead => Gauge::BodiesRead,
        Kind::BodyKept => Gauge::BodiesKept,
        Kind::ReadAhead => Gauge::ReadAhead,
        Kind::Whole => Gauge::WholeAnswers,
        Kind::Connection => Gauge::Connections,
    }
}
