//! Telemetry of a node: counters, gauges and timers; log lines for changes of state; a trace span per
//! step of a request.

mod log;
mod metrics;
mod trace;

pub use log::{discard, logger, stdout_logger, LogGuard};
pub use metrics::{Counter, Gauge, Metrics, Timer};
pub use trace::{RequestSpan, RequestTracer};
