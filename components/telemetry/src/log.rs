//! Log lines, on standard error or standard output.

use slog::{o, Drain, Logger};

/// Lines kept while standard error is slow; later ones are dropped and counted by slog.
const QUEUE: usize = 1024;

/// A logger in the format `json` or, for anything else, for a terminal.
pub fn logger(format: &str, node: &str) -> Logger {
    let drain = match format {
        "json" => queue(slog_json::Json::default(std::io::stderr()).fuse()),
        _ => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            queue(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    Logger::root(drain.fuse(), o!("node" => node.to_string()))
}

/// Writes out the lines that wait when it is dropped.
#[must_use = "lines that wait are lost without it"]
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// A logger that writes JSON lines to standard output and never blocks: lines that find the queue
/// full are dropped and counted. Keep the guard until the process ends.
pub fn stdout_logger(node: &str) -> (Logger, LogGuard) {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let queue = slog_async::Async::new(json).chan_size(QUEUE);
    let (queue, guard) = queue.build_with_guard();
    let logger = Logger::root(queue.fuse(), o!("node" => node.to_string()));
    (logger, LogGuard { _guard: guard })
}

/// A logger that writes nothing, for tests and embedded use.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn queue<D>(drain: D) -> slog_async::Async
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(QUEUE).build()
}
