//! `croftpond serve`: one entry node until it is asked to stop.

use std::process::ExitCode;
use std::time::Duration;

use error_stack::ResultExt;
use node::{Node, Platform};

use super::signals::StopSignals;
use super::{read_file, CommandError, Outcome, EXIT_FAULTS};
use crate::cli::Serve;

/// How often signals, and a reclaim of the node's own VM, are looked for.
const SIGNAL_PAUSE: Duration = Duration::from_millis(50);

/// Runs the command.
pub fn run(args: &Serve) -> Outcome {
    let text = read_file(&args.node)?;
    let settings = match settings::read_node(&args.node, &text) {
        Ok(settings) => settings,
        Err(faults) => {
            eprint!("{faults}");
            return Ok(ExitCode::from(EXIT_FAULTS));
        }
    };
    let mut signals = StopSignals::new()?;
    let log = telemetry::logger(&settings.log_format, &settings.name);
    let platform = Platform::of(&settings);
    let node = Node::start(settings, platform, log)
        .change_context(CommandError("the node could not start"))?;
    println!("listening on {}", node.address());
    while !signals.pending() && !node.is_stopping() {
        std::thread::sleep(SIGNAL_PAUSE);
    }
    match node.finish_stop() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(super::EXIT_FAILED)),
    }
}
