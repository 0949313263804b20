//! Starting and stopping a node.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use flume::{Receiver, Sender};
use platform::{Cloud, HttpCloud, HttpObjects, HttpTable, Objects, Table};
use schema::settings::NodeSettings;
use slog::{info, Logger};
use telemetry::{Metrics, Traces};
use transport::{bind_http, Bounds, Engine, HttpEngine};

use crate::caller::accept;
use crate::control::{self, ControlEvent};
use crate::shared::{Parts, Shared};

/// How often a stopping node looks whether its last request ended.
const STOP_LOOK: Duration = Duration::from_millis(20);

/// A node that could not be started.
#[derive(Debug)]
pub struct NodeError;

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the node could not start; correct the settings named below")
    }
}

impl std::error::Error for NodeError {}

/// Clients of the systems around a node.
pub struct Platform {
    /// Model engines.
    pub engine: Box<dyn Engine>,
    /// Transactional table.
    pub table: Box<dyn Table>,
    /// Object store.
    pub objects: Box<dyn Objects>,
    /// Cloud API.
    pub cloud: Box<dyn Cloud>,
}

impl Platform {
    /// Clients that speak the protocols of docs/interfaces.md at the addresses of the settings.
    pub fn of(settings: &NodeSettings) -> Self {
        Platform {
            engine: Box::new(HttpEngine),
            table: Box::new(HttpTable::new(&settings.table_url)),
            objects: Box::new(HttpObjects::new(&settings.objects_url)),
            cloud: Box::new(HttpCloud::new(&settings.cloud_url)),
        }
    }
}

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    address: SocketAddr,
    accepting: Option<JoinHandle<()>>,
    controlling: Option<JoinHandle<()>>,
    done: Option<Sender<()>>,
}

impl Node {
    /// Starts a node; port 0 in its addresses picks a free one.
    pub fn start(
        settings: NodeSettings,
        platform: Platform,
        log: Logger,
    ) -> Result<Self, Report<NodeError>> {
        let listener = listen(&settings)?;
        let address = listener.local_addr().change_context(NodeError)?;
        let (control, events) = flume::unbounded();
        let shared = Arc::new(share(settings, platform, log, control)?);
        let controlling = start_control(&shared, events)?;
        let (done, done_receiver) = flume::bounded(0);
        let accepting = start_accepting(&shared, listener, done_receiver)?;
        info!(shared.log, "node started"; "address" => address.to_string());
        Ok(Node {
            shared,
            address,
            accepting: Some(accepting),
            controlling: Some(controlling),
            done: Some(done),
        })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the node is ready for requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Starts a planned stop: readiness fails, nothing new is taken, what runs goes on.
    pub fn begin_stop(&self) {
        self.shared.set_stopping();
        info!(self.shared.log, "planned stop");
    }

    /// Waits until every request has ended, at most for the grace of the settings. Returns whether
    /// all of them ended.
    pub fn finish_stop(mut self) -> bool {
        self.begin_stop();
        let grace = Duration::from_millis(self.shared.settings.stop_grace_ms as u64);
        let until = Instant::now() + grace;
        while self.shared.traffic().in_flight() > 0 && Instant::now() < until {
            thread::sleep(STOP_LOOK);
        }
        let left = self.shared.traffic().in_flight();
        info!(self.shared.log, "node stopped"; "requests_left" => left);
        self.end_threads();
        self.shared.traces.flush();
        left == 0
    }

    fn end_threads(&mut self) {
        let _ = self.shared.control.send(ControlEvent::Stop);
        self.done.take();
        for thread in [self.accepting.take(), self.controlling.take()]
            .into_iter()
            .flatten()
        {
            let _ = thread.join();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end_threads();
    }
}

fn listen(settings: &NodeSettings) -> Result<TcpListener, Report<NodeError>> {
    let address: SocketAddr = settings
        .listen
        .parse()
        .change_context(NodeError)
        .attach_with(|| format!("listen = {}", settings.listen))?;
    let timeout = Duration::from_millis(settings.read_timeout_ms as u64);
    let bounds = Bounds {
        read_timeout: timeout,
        write_timeout: timeout,
    };
    bind_http(address, bounds)
        .change_context(NodeError)
        .attach_with(|| format!("listen = {}", settings.listen))
}

fn share(
    settings: NodeSettings,
    platform: Platform,
    log: Logger,
    control: Sender<ControlEvent>,
) -> Result<Shared, Report<NodeError>> {
    let metrics = Metrics::new(settings.statsd.parse().ok())
        .change_context(NodeError)
        .attach_with(|| format!("statsd = {}", settings.statsd))?;
    let traces = Traces::new(&settings.trace_file)
        .change_context(NodeError)
        .attach_with(|| format!("trace_file = {}", settings.trace_file))?;
    Ok(Shared::new(Parts {
        settings,
        metrics,
        traces,
        log,
        engine: platform.engine,
        table: platform.table,
        objects: platform.objects,
        cloud: platform.cloud,
        control,
    }))
}

fn start_control(
    shared: &Arc<Shared>,
    events: Receiver<ControlEvent>,
) -> Result<JoinHandle<()>, Report<NodeError>> {
    let shared = Arc::clone(shared);
    thread::Builder::new()
        .name("control".into())
        .spawn(move || control::run(&shared, &events))
        .change_context(NodeError)
}

fn start_accepting(
    shared: &Arc<Shared>,
    listener: TcpListener,
    done: Receiver<()>,
) -> Result<JoinHandle<()>, Report<NodeError>> {
    let shared = Arc::clone(shared);
    thread::Builder::new()
        .name("accept".into())
        .spawn(move || accept(&shared, &listener, &done))
        .change_context(NodeError)
}
