//! The control thread: owns the control state and publishes what traffic threads read.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};
use platform::body_hash;
use routing::Reading;
use slog::{error, info};
use state::Version;
use telemetry::Counter;

use crate::attempt::spawn;
use crate::shared::Shared;
use crate::snapshot::Snapshot;

const TICK: Duration = Duration::from_millis(100);

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// A load reading came back.
    Read {
        endpoint: String,
        load: Option<transport::LoadReport>,
    },
    /// End the thread.
    Stop,
}

/// Runs until [`ControlEvent::Stop`].
pub fn run(shared: &Arc<Shared>, events: &Receiver<ControlEvent>) {
    bootstrap(shared);
    loop {
        match events.recv_timeout(TICK) {
            Ok(ControlEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => take(shared, event),
            Err(RecvTimeoutError::Timeout) => tick(shared),
        }
    }
}

fn bootstrap(shared: &Shared) {
    let file = &shared.settings.bootstrap;
    if file.is_empty() {
        return;
    }
    let body = match std::fs::read_to_string(file) {
        Ok(body) => body,
        Err(e) => return error!(shared.log, "bootstrap not read"; "error" => e.to_string()),
    };
    let version = Version {
        number: 0,
        hash: body_hash(&body),
    };
    apply(shared, version, &body);
}

fn apply(shared: &Shared, version: Version, body: &str) {
    match settings::read_configuration("configuration", body) {
        Ok(configuration) => {
            shared.traffic().configure(shared.now(), &configuration);
            info!(shared.log, "configuration in force"; "version" => version.number);
            shared.metrics.count(Counter::Applied);
            shared.snapshot.store(Arc::new(Snapshot {
                version,
                configuration,
            }));
            shared.set_ready();
        }
        Err(faults) => {
            error!(shared.log, "configuration not usable"; "faults" => faults.to_string())
        }
    }
}

fn take(shared: &Shared, event: ControlEvent) {
    if let ControlEvent::Read {
        endpoint,
        load: Some(load),
    } = event
    {
        let at = shared.now();
        let reading = Reading {
            running: load.running,
            queued: load.queued,
            at,
        };
        let mut traffic = shared.traffic();
        traffic.router.read(&endpoint, reading);
        if let Some(left) = load.leaving_in_ms {
            traffic
                .router
                .leave(&endpoint, at + Duration::from_millis(left));
        }
        traffic.release_waiters(at);
    }
}

fn tick(shared: &Arc<Shared>) {
    let snapshot = shared.snapshot.load();
    for endpoint in &snapshot.configuration.endpoints {
        let (shared, endpoint) = (Arc::clone(shared), endpoint.clone());
        spawn(move || {
            let load = shared.engine.load(&endpoint.address).ok();
            let event = ControlEvent::Read {
                endpoint: endpoint.name,
                load,
            };
            let _ = shared.control.send(event);
        });
    }
}
