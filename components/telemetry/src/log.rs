//! Loggers that write to standard error or standard output.

use slog::{o, Drain, Logger};

/// Maximum number of lines queued while the output is slow; slog drops and counts further ones.
const MAX_QUEUED_LINES: usize = 1024;

/// Creates a logger to standard error: JSON lines if `format` is `json`, otherwise terminal text.
pub fn logger(format: &str, node: &str) -> Logger {
    let drain = match format {
        "json" => async_drain(slog_json::Json::default(std::io::stderr()).fuse()),
        _ => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            async_drain(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    Logger::root(drain.fuse(), o!("node" => node.to_string()))
}

/// Flushes the queued log lines when it is dropped.
#[must_use = "queued lines are lost if the guard is dropped early"]
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Creates a logger that writes JSON lines to standard output and never blocks: lines are dropped and
/// counted while the queue is full. Keep the guard until the process ends.
pub fn stdout_logger(node: &str) -> (Logger, LogGuard) {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let builder = slog_async::Async::new(json).chan_size(MAX_QUEUED_LINES);
    let (drain, guard) = builder.build_with_guard();
    let logger = Logger::root(drain.fuse(), o!("node" => node.to_string()));
    (logger, LogGuard { _guard: guard })
}

/// Creates a logger that writes nothing, for tests and embedded use.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn async_drain<D>(drain: D) -> slog_async::Async
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .build()
}
