//! Starting a gateway, and its planned stop.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use schema::settings::GatewaySettings;
use slog::{info, Logger};
use telemetry::Metrics;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::clock::Clock;
use crate::control::{Control, ControlParts};
use crate::freshness::Freshness;
use crate::ports::{Dialect, Orders, Store};
use crate::server::{bind, serve_callers, serve_metrics, serve_readiness};
use crate::traffic::{Traffic, TrafficParts};

/// Tallies that wait for the control thread; further ones are dropped.
const TALLIES_WAITING: usize = 256;
/// Pause between looks at whether a stop was asked for or is over.
const STOP_LOOK: Duration = Duration::from_millis(100);
/// Time in which new callers may still come after a stop was asked for.
const STOP_LINGER: Duration = Duration::from_millis(2500);
/// A stop is over so long before the process would be killed.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// A gateway that could not start; what is attached says why.
#[derive(Debug)]
pub struct GatewayError(pub &'static str);

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for GatewayError {}

/// What a gateway is made of.
pub struct Parts<D, S, O> {
    /// Its settings.
    pub settings: GatewaySettings,
    /// Reads the settings anew; `None` while they cannot be read.
    pub read_settings: Box<dyn Fn() -> Option<GatewaySettings> + Send>,
    /// Heads of requests and answers.
    pub dialect: D,
    /// Makes the client of the store, in the control thread.
    pub store: Box<dyn FnOnce() -> S + Send>,
    /// Makes the client of the service that takes orders, in the control thread.
    pub orders: Box<dyn FnOnce() -> O + Send>,
    /// Log.
    pub log: Logger,
}

/// Runs a gateway until SIGTERM or SIGINT, then stops it as planned.
pub fn run<D, S, O>(parts: Parts<D, S, O>) -> Result<(), Report<GatewayError>>
where
    D: Dialect + 'static,
    S: Store + 'static,
    O: Orders + 'static,
{
    let clock = Clock::start();
    let settings = Arc::new(parts.settings);
    let freshness = Arc::new(Freshness::default());
    let metrics = Metrics::new(None).change_context(GatewayError("no metrics"))?;
    let metrics = Arc::new(metrics);
    let (tallies, tallied) = flume::bounded(TALLIES_WAITING);
    let (updates, updated) = flume::unbounded();
    info!(parts.log, "start"; "gateway" => &settings.name, "zone" => &settings.zone,
        "callers" => &settings.callers);
    let control = Control::new(ControlParts {
        settings: Arc::clone(&settings),
        read_settings: parts.read_settings,
        clock,
        freshness: Arc::clone(&freshness),
        metrics: Arc::clone(&metrics),
        log: parts.log.clone(),
        updates,
        tallies: tallied,
    });
    let (store, orders) = (parts.store, parts.orders);
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || control.run(store, orders))
        .change_context(GatewayError("the control thread could not start"))?;
    let traffic = Rc::new(Traffic::new(TrafficParts {
        dialect: parts.dialect,
        clock,
        freshness,
        metrics: Arc::clone(&metrics),
        log: parts.log,
        settings: Arc::clone(&settings),
        tallies,
    }));
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(GatewayError("the traffic thread could not start"))?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(traffic, settings, metrics, updated))
}

async fn serve<D: Dialect + 'static>(
    traffic: Rc<Traffic<D>>,
    settings: Arc<GatewaySettings>,
    metrics: Arc<Metrics>,
    updates: flume::Receiver<crate::traffic::Update>,
) -> Result<(), Report<GatewayError>> {
    let callers = listen(&settings.callers)?;
    let readiness = listen(&settings.readiness)?;
    let descriptors = settings.descriptors.max(0) as usize;
    let serving = serve_callers(Rc::clone(&traffic), callers, descriptors);
    tokio::task::spawn_local(serving);
    tokio::task::spawn_local(serve_readiness(Rc::clone(&traffic), readiness));
    if !settings.metrics.is_empty() {
        let shown = listen(&settings.metrics)?;
        tokio::task::spawn_local(serve_metrics(metrics, shown));
    }
    let following = Rc::clone(&traffic);
    tokio::task::spawn_local(async move { following.follow(updates).await });
    while !traffic.freshness.is_stopping() {
        tokio::time::sleep(STOP_LOOK).await;
    }
    finish(&traffic, &settings).await;
    Ok(())
}

async fn finish<D: Dialect + 'static>(traffic: &Traffic<D>, settings: &GatewaySettings) {
    let asked = traffic.clock.now();
    info!(traffic.log, "stop asked for"; "in_flight" => traffic.in_flight.get());
    let grace = Duration::from_millis(settings.stop_grace_ms.max(0) as u64);
    let latest = asked + grace.saturating_sub(STOP_MARGIN);
    loop {
        tokio::time::sleep(STOP_LOOK).await;
        let now = traffic.clock.now();
        let quiet = traffic.in_flight.get() == 0 && now >= asked + STOP_LINGER;
        if quiet || now >= latest {
            break;
        }
    }
    traffic.send_tally();
    tokio::time::sleep(STOP_LOOK).await;
    info!(traffic.log, "stop"; "in_flight" => traffic.in_flight.get());
}

fn listen(address: &str) -> Result<tokio::net::TcpListener, Report<GatewayError>> {
    const MESSAGE: &str = "an address could not be bound; free it or change it in the settings";
    let parsed: SocketAddr = address
        .parse()
        .change_context(GatewayError(MESSAGE))
        .attach_with(|| address.to_string())?;
    bind(parsed)
        .change_context(GatewayError(MESSAGE))
        .attach_with(|| address.to_string())
}
