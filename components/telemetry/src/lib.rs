//! What a node shows of itself: counters first, log lines for changes of state, a span a hop.

mod log;
mod metrics;
mod trace;

pub use log::{discard, logger, stdout_logger, LogGuard};
pub use metrics::{Counter, Gauge, Metrics, Timer};
pub use trace::{Hop, Traces};
