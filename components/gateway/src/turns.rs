//! Turns of the traffic thread. While a task runs, the thread reads nothing from callers, endpoints and other
//! gateways, so tasks that serve a channel end their turn after a bounded number of steps.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::time::{Duration, Instant};

use slog::{info, Logger};
use telemetry::{Gauge, Metrics};

/// Maximum number of steps of one task in a turn.
pub const MAX_TURN_STEPS: u32 = 64;
/// Time after which a task ends its turn after the current step.
const MAX_TURN_TIME: Duration = Duration::from_millis(5);
/// Turns that take at least this long are logged.
const MIN_LOGGED_TURN: Duration = Duration::from_millis(100);

/// The steps of a task since it last let other tasks run.
#[derive(Debug)]
pub struct Turn {
    steps: u32,
    began: Instant,
}

impl Default for Turn {
    fn default() -> Self {
        Turn {
            steps: 0,
            began: Instant::now(),
        }
    }
}

impl Turn {
    /// Records a step. Lets other tasks run if the turn has taken long enough, and returns whether it did.
    pub async fn step(&mut self) -> bool {
        self.steps += 1;
        if self.steps < MAX_TURN_STEPS && self.began.elapsed() < MAX_TURN_TIME {
            return false;
        }
        tokio::task::yield_now().await;
        *self = Turn::default();
        true
    }
}

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
