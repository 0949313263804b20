//! Starting and stopping a node.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use flume::{Receiver, Sender};
use provider::{Cloud, HttpCloud, HttpObjectStore, HttpTable, ObjectStore, Table};
use schema::settings::NodeSettings;
use slog::{info, Logger};
use telemetry::{Metrics, RequestTracer};
use transport::{bind_config_listener, bind_http, Engine, HttpEngine, SocketTimeouts};

use crate::caller::accept;
use crate::control::{Control, ControlEvent};
use crate::peers::{receive, serve_bodies};
use crate::shared::{Parts, Shared};

/// How often a stopping node looks whether its last request ended.
const STOP_LOOK: Duration = Duration::from_millis(20);

/// How often the thread that takes datagrams looks whether the node has ended.
const RECEIVE_PAUSE: Duration = Duration::from_millis(200);
/// Tries to find a port number free for datagrams and connections alike.
const PORT_TRIES: u32 = 20;

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
    pub objects: Box<dyn ObjectStore>,
    /// Cloud API.
    pub cloud: Box<dyn Cloud>,
}

impl Platform {
    /// Clients that speak the protocols of docs/interfaces.md at the addresses of the settings.
    pub fn of(settings: &NodeSettings) -> Self {
        Platform {
            engine: Box::new(HttpEngine),
            table: Box::new(HttpTable::new(&settings.table_url)),
            objects: Box::new(HttpObjectStore::new(&settings.objects_url)),
            cloud: Box::new(HttpCloud::new(&settings.cloud_url)),
        }
    }
}

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    address: SocketAddr,
    peer_address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a node; port 0 in its addresses picks a free one.
    pub fn start(
        settings: NodeSettings,
        platform: Platform,
        log: Logger,
    ) -> Result<Self, Report<NodeError>> {
        let listener = listen(&settings)?;
        let peers = PeerSockets::bind(&settings)?;
        let address = listener.local_addr().change_context(NodeError)?;
        let peer_address = peers.datagrams.local_addr().change_context(NodeError)?;
        let (control, events) = flume::unbounded();
        let shared = Arc::new(share(
            settings,
            platform,
            log,
            control.clone(),
            peer_address,
        )?);
        let mut node = Node {
            shared: Arc::clone(&shared),
            address,
            peer_address,
            threads: Vec::new(),
        };
        node.start_control(&peers, control, events)?;
        node.start_peers(peers)?;
        node.start_thread("accept", move |shared| accept(&shared, &listener))?;
        info!(shared.log, "node started"; "address" => %address, "peer_address" => %peer_address);
        Ok(node)
    }

    fn start_control(
        &mut self,
        peers: &PeerSockets,
        control: Sender<ControlEvent>,
        events: Receiver<ControlEvent>,
    ) -> Result<(), Report<NodeError>> {
        let socket = peers.datagrams.try_clone().change_context(NodeError)?;
        self.start_thread("control", move |shared| {
            Control::new(&shared, socket, control).run(&events);
        })
    }

    fn start_peers(&mut self, peers: PeerSockets) -> Result<(), Report<NodeError>> {
        let PeerSockets { datagrams, bodies } = peers;
        self.start_thread("peers", move |shared| receive(&shared, &datagrams))?;
        self.start_thread("bodies", move |shared| serve_bodies(&shared, &bodies))
    }

    fn start_thread(
        &mut self,
        name: &str,
        work: impl FnOnce(Arc<Shared>) + Send + 'static,
    ) -> Result<(), Report<NodeError>> {
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new()
            .name(name.into())
            .spawn(move || work(shared));
        self.threads.push(thread.change_context(NodeError)?);
        Ok(())
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Whether the node is ready for requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Whether a planned stop is under way: it was asked for, or the node's VM is reclaimed.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> i64 {
        self.shared.snapshot.load().version.number
    }

    /// What was counted, by name.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.shared.metrics.counters_by_name()
    }

    /// Starts a planned stop: readiness fails, nothing new is taken, what runs goes on.
    pub fn begin_stop(&self) {
        self.shared.set_stopping();
        let _ = self.shared.control.send(ControlEvent::BeginStop);
        info!(self.shared.log, "planned stop");
    }

    /// Waits until every request has ended, at most for the grace of the settings. Returns whether
    /// all of them ended.
    pub fn finish_stop(self) -> bool {
        self.begin_stop();
        let grace = Duration::from_millis(self.shared.settings.stop_grace_ms as u64);
        let until = Instant::now() + grace;
        while self.shared.traffic().in_flight() > 0 && Instant::now() < until {
            thread::sleep(STOP_LOOK);
        }
        let left = self.shared.traffic().in_flight();
        info!(self.shared.log, "node stopped"; "requests_left" => left);
        left == 0
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shared.set_ended();
        let _ = self.shared.control.send(ControlEvent::End);
        // A connection lets the thread that accepts them look whether the node has ended.
        let _ = TcpStream::connect(self.peer_address);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.shared.traces.flush();
    }
}

struct PeerSockets {
    datagrams: UdpSocket,
    bodies: TcpListener,
}

impl PeerSockets {
    // Datagrams and bodies share one port number; port 0 is tried until both are free.
    fn bind(settings: &NodeSettings) -> Result<Self, Report<NodeError>> {
        let named = || format!("peer_listen = {}", settings.peer_listen);
        let address: SocketAddr = settings
            .peer_listen
            .parse()
            .change_context(NodeError)
            .attach_with(named)?;
        let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
        loop {
            tries -= 1;
            match Self::bind_at(address) {
                Ok(sockets) => return Ok(sockets),
                Err(_) if tries > 0 => {}
                Err(error) => {
                    return Err(Report::new(error).change_context(NodeError).attach(named()));
                }
            }
        }
    }

    fn bind_at(address: SocketAddr) -> std::io::Result<Self> {
        let datagrams = UdpSocket::bind(address)?;
        datagrams.set_read_timeout(Some(RECEIVE_PAUSE))?;
        let bodies = bind_config_listener(datagrams.local_addr()?)?;
        Ok(PeerSockets { datagrams, bodies })
    }
}

fn listen(settings: &NodeSettings) -> Result<TcpListener, Report<NodeError>> {
    let address: SocketAddr = settings
        .listen
        .parse()
        .change_context(NodeError)
        .attach_with(|| format!("listen = {}", settings.listen))?;
    let timeout = Duration::from_millis(settings.read_timeout_ms as u64);
    let bounds = SocketTimeouts {
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
    peer_address: SocketAddr,
) -> Result<Shared, Report<NodeError>> {
    let metrics = Metrics::new(settings.statsd.parse().ok())
        .change_context(NodeError)
        .attach_with(|| format!("statsd = {}", settings.statsd))?;
    let traces = RequestTracer::new(&settings.trace_file)
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
        peer_address: peer_address.to_string(),
    }))
}
