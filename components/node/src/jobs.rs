//! Blocking calls of the control thread, made by a few workers.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use control::{CallId, Event};
use flume::{Receiver, Sender};
use membership::{Contact, Load};
use provider::Vm;
use state::{Reply, TableCall};
use telemetry::Counter;
use transport::{fetch_config_body, Key, LoadReport, OrderBody};

use crate::attempt::spawn;
use crate::control::ControlEvent;
use crate::orders::Order;
use crate::shared::Shared;

/// Workers for calls of the platform and of other nodes.
const PLATFORM_WORKERS: usize = 4;
/// Workers that read loads; a dead endpoint holds one for two seconds.
const LOAD_WORKERS: usize = 8;
/// Pool under which the platform lists croftpond's own VMs.
const ENTRY_POOL: &str = "entry";

/// An endpoint to read.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name.
    pub endpoint: String,
    /// Address.
    pub address: String,
    /// Whether it is a model engine, which reports its prefix cache.
    pub has_cache: bool,
}

/// A blocking call.
#[derive(Debug)]
pub enum Job {
    /// Ask the cloud for notices after a sequence.
    Notices(u64),
    /// Ask the cloud for its list.
    ListVms,
    /// Call the table.
    Table(CallId, TableCall),
    /// Fetch a body from a node.
    FetchFromPeer { address: String, hash: String },
    /// Fetch a body from the object store.
    FetchFromStore { hash: String },
    /// Send an order, if the lease still holds right before.
    Order { order: Order, until: Duration },
}

/// The workers.
pub struct Jobs {
    platform: Sender<Job>,
    loads: Sender<Target>,
    reading: Arc<Mutex<HashSet<String>>>,
}

impl Jobs {
    /// Starts the workers; their results go to `events`. They end with the control thread.
    pub fn start(shared: &Arc<Shared>, events: Sender<ControlEvent>) -> Self {
        let (platform, jobs) = flume::unbounded();
        let (loads, readings) = flume::unbounded();
        let reading = Arc::new(Mutex::new(HashSet::new()));
        for _ in 0..PLATFORM_WORKERS {
            let (shared, jobs, events) = (Arc::clone(shared), jobs.clone(), events.clone());
            spawn(move || work(&shared, &jobs, &events));
        }
        for _ in 0..LOAD_WORKERS {
            let (shared, readings, events) = (Arc::clone(shared), readings.clone(), events.clone());
            let reading = Arc::clone(&reading);
            spawn(move || read_loads(&shared, &readings, &events, &reading));
        }
        Jobs {
            platform,
            loads,
            reading,
        }
    }

    /// Gives a job to the workers.
    pub fn give(&self, job: Job) {
        let _ = self.platform.send(job);
    }

    /// Reads an endpoint, unless that is under way.
    pub fn read(&self, target: Target) {
        let mut reading = self.reading.lock().unwrap_or_else(PoisonError::into_inner);
        if reading.insert(target.endpoint.clone()) {
            let _ = self.loads.send(target);
        }
    }
}

fn read_loads(
    shared: &Shared,
    readings: &Receiver<Target>,
    events: &Sender<ControlEvent>,
    reading: &Mutex<HashSet<String>>,
) {
    let mut after: HashMap<String, u64> = HashMap::new();
    while let Ok(Target {
        endpoint,
        address,
        has_cache,
    }) = readings.recv()
    {
        if has_cache {
            read_cache(shared, events, &endpoint, &address, &mut after);
        }
        let load = shared.engine.load(&address).ok().map(|l| load_of(&l));
        reading
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&endpoint);
        let event = ControlEvent::Core(Event::Read(endpoint, load));
        if events.send(event).is_err() {
            return;
        }
    }
}

// What an engine reports of its cache. A plain service is never asked: the call would be one of its
// own. Each worker asks from where it
// was itself: an event that comes twice changes nothing.
fn read_cache(
    shared: &Shared,
    events: &Sender<ControlEvent>,
    endpoint: &str,
    address: &str,
    after: &mut HashMap<String, u64>,
) {
    let last = after.entry(endpoint.to_string()).or_default();
    let Ok(changes) = shared.engine.cache_events(address, *last) else {
        return;
    };
    if let Some(newest) = changes.iter().map(|c| c.sequence).max() {
        *last = newest;
        let endpoint = endpoint.to_string();
        let _ = events.send(ControlEvent::Cache { endpoint, changes });
    }
}

fn load_of(report: &LoadReport) -> Load {
    Load {
        running: report.running,
        queued: report.queued,
        incarnation: report.incarnation,
        leaving_in: report.leaving_in_ms.map(Duration::from_millis),
    }
}

fn work(shared: &Shared, jobs: &Receiver<Job>, events: &Sender<ControlEvent>) {
    while let Ok(job) = jobs.recv() {
        if let Some(event) = run(shared, job) {
            if events.send(event).is_err() {
                return;
            }
        }
    }
}

fn run(shared: &Shared, job: Job) -> Option<ControlEvent> {
    match job {
        Job::Notices(after) => Some(ControlEvent::Notices(counted(
            shared,
            shared.cloud.notices(after),
        ))),
        Job::ListVms => {
            let vms = counted(shared, shared.cloud.vms());
            Some(ControlEvent::Listed(vms.map(contacts)))
        }
        Job::Table(id, call) => {
            shared.metrics.count(Counter::TableCalls);
            let reply = shared.table.call(&call);
            if reply == Reply::Unanswered {
                shared.metrics.count(Counter::PlatformUnanswered);
            }
            Some(ControlEvent::Core(Event::Table(id, reply)))
        }
        Job::FetchFromPeer { address, hash } => {
            let body = fetch(shared, &address, &hash);
            Some(ControlEvent::Core(Event::Fetched { hash, body }))
        }
        Job::FetchFromStore { hash } => {
            let body = shared.objects.get(&hash);
            Some(ControlEvent::Core(Event::Fetched { hash, body }))
        }
        Job::Order { order, until } => Some(send_order(shared, order, until)),
    }
}

fn counted<T>(shared: &Shared, answer: Option<T>) -> Option<T> {
    if answer.is_none() {
        shared.metrics.count(Counter::PlatformUnanswered);
    }
    answer
}

// Halls that the cell reads are of the cell; another data hall is taken for a cell of its name.
fn contacts(vms: Vec<Vm>) -> Vec<Contact> {
    let nodes = vms
        .into_iter()
        .filter(|vm| vm.pool == ENTRY_POOL && !vm.leaving);
    let contact = |vm: Vm| Contact {
        name: vm.name,
        cell: vm.hall,
        address: vm.address,
    };
    nodes.map(contact).collect()
}

fn fetch(shared: &Shared, address: &str, hash: &str) -> Option<String> {
    let key = Key::new(&shared.settings.peer_key);
    let body = fetch_config_body(address.parse().ok()?, &key, hash).ok()??;
    (provider::body_hash(&body) == hash).then_some(body)
}

fn send_order(shared: &Shared, order: Order, until: Duration) -> ControlEvent {
    let body = OrderBody {
        epoch: order.epoch,
        model: order.model,
    };
    // The last look at the lease, right before the order goes out.
    let done = shared.now() < until && shared.engine.order(&order.address, &body).is_ok();
    shared.metrics.count(Counter::Orders);
    ControlEvent::Ordered {
        endpoint: order.endpoint,
        epoch: order.epoch,
        done,
    }
}
