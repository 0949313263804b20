//! Turns of the traffic thread. While a task runs, the thread reads nothing from callers, endpoints and other gateways.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::time::{Duration, Instant};

use slog::{info, Logger};
use telemetry::{Gauge, Metrics};

/// Turns that take at least this long are logged.
const MIN_LOGGED_TURN: Duration = Duration::from_millis(100);

/// Runs the tasks of a thread and records the longest time without a check of its sockets and timers.
pub(crate) async fn measure_turns<F: Future>(
    tasks: F,
    metrics: &Metrics,
    log: &Logger,
) -> F::Output {
    let mut tasks = pin!(tasks);
    let mut longest = Duration::ZERO;
    poll_fn(|context| {
        let began = Instant::now();
        let polled = tasks.as_mut().poll(context);
        let elapsed = began.elapsed();
        if elapsed > longest {
            longest = elapsed;
            metrics.set(Gauge::LongestTurn, longest.as_millis() as u64);
        }
        if elapsed >= MIN_LOGGED_TURN {
            info!(log, "long turn"; "ms" => elapsed.as_millis() as u64);
        }
        polled
    })
    .await
}
