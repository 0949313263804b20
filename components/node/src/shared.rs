//! What all threads of a node share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use control::{Admitted, PlatformGate, CLAIM_PAUSE};
use flume::Sender;
use provider::{Cloud, ObjectStore, Table};
use schema::settings::NodeSettings;
use slog::Logger;
use state::{Reply, TableCall};
use telemetry::{Counter, Metrics, RequestTracer};
use transport::{Engine, Key};

use crate::control::{control_rate, ControlEvent};
use crate::explain::Records;
use crate::snapshot::Snapshot;
use crate::traffic::Traffic;

/// Shared by the control thread and all traffic threads.
pub struct Shared {
    pub settings: NodeSettings,
    pub resume_key: Key,
    pub metrics: Metrics,
    pub traces: RequestTracer,
    pub log: Logger,
    pub engine: Box<dyn Engine>,
    pub table: Box<dyn Table>,
    pub objects: Box<dyn ObjectStore>,
    pub cloud: Box<dyn Cloud>,
    pub snapshot: ArcSwap<Snapshot>,
    pub records: Mutex<Records>,
    pub control: Sender<ControlEvent>,
    claim_gate: Mutex<PlatformGate>,
    traffic: Mutex<Traffic>,
    status: ArcSwap<serde_json::Value>,
    peer_address: String,
    started: Instant,
    next_id: AtomicU64,
    ready: AtomicBool,
    stopping: AtomicBool,
    ended: AtomicBool,
}

/// The parts of [`Shared`] that the outside gives.
pub struct Parts {
    pub settings: NodeSettings,
    pub metrics: Metrics,
    pub traces: RequestTracer,
    pub log: Logger,
    pub engine: Box<dyn Engine>,
    pub table: Box<dyn Table>,
    pub objects: Box<dyn ObjectStore>,
    pub cloud: Box<dyn Cloud>,
    pub control: Sender<ControlEvent>,
    pub peer_address: String,
}

impl Shared {
    /// A node that is not ready yet.
    pub fn new(parts: Parts) -> Self {
        let seed: u64 = rand::random();
        let rate = parts.settings.platform_rate as u64;
        let rate = rate.saturating_sub(control_rate(rate)).max(1);
        Shared {
            resume_key: Key::new(&parts.settings.resume_key),
            settings: parts.settings,
            metrics: parts.metrics,
            traces: parts.traces,
            log: parts.log,
            engine: parts.engine,
            table: parts.table,
            objects: parts.objects,
            cloud: parts.cloud,
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            records: Mutex::new(Records::default()),
            control: parts.control,
            peer_address: parts.peer_address,
            claim_gate: Mutex::new(PlatformGate::new(Duration::ZERO, rate, CLAIM_PAUSE)),
            traffic: Mutex::new(Traffic::new(seed)),
            status: ArcSwap::from_pointee(serde_json::Value::Null),
            started: Instant::now(),
            next_id: AtomicU64::new(1),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        }
    }

    /// Time since the node started: the only clock that decisions see.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A number for a request, unique at this node.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// The traffic state; hold it for microseconds.
    pub fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a table call for a claim, within the budget that all claims of the node share.
    pub fn call_for_claim(&self, call: &TableCall) -> Reply {
        let admitted = self.claim_gate().admit(self.now(), &mut rand::rng());
        if admitted == Admitted::No {
            return Reply::Refused;
        }
        self.metrics.count(Counter::TableCalls);
        let reply = self.table.call(call);
        let answered = !matches!(reply, Reply::Unanswered | Reply::Refused);
        if !answered {
            self.metrics.count(Counter::PlatformUnanswered);
        }
        self.claim_gate().note(answered);
        reply
    }

    fn claim_gate(&self) -> MutexGuard<'_, PlatformGate> {
        self.claim_gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// Marks the node as ready.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Whether a planned stop is under way.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Starts a planned stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the node's threads should end.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Ends the node's threads.
    pub fn set_ended(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Address for other nodes.
    pub fn peer_address(&self) -> &str {
        &self.peer_address
    }

    /// What the control thread shows in `status`.
    pub fn control_status(&self) -> serde_json::Value {
        serde_json::Value::clone(&self.status.load())
    }

    /// Sets what the control thread shows in `status`.
    pub fn set_control_status(&self, status: serde_json::Value) {
        self.status.store(status.into());
    }
}

/// Unix time in milliseconds.
pub fn unix_millis() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as i64)
}
