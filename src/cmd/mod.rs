//! One module per subcommand.

mod check;
mod config;
mod explain;
mod gateway;
mod operator;
mod quickstart;
mod replay;
mod routes;
mod serve;
mod signals;
mod status;

use std::fmt;
use std::process::ExitCode;

use error_stack::Report;

use crate::cli::Command;

/// The command failed.
pub const EXIT_FAILED: u8 = 1;
/// Settings or configuration have faults.
pub const EXIT_FAULTS: u8 = 2;

/// Another edit of the configuration came first.
pub const EXIT_CONFLICT: u8 = 3;
/// A replay missed a stated outcome.
pub const EXIT_MISSED: u8 = 4;

/// A command that failed; what is attached says why.
#[derive(Debug)]
pub struct CommandError(pub &'static str);

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for CommandError {}

/// How a command ends.
pub type Outcome = Result<ExitCode, Report<CommandError>>;

/// Runs a subcommand.
pub fn run(command: Command) -> Outcome {
    match command {
        Command::Serve(args) => serve::run(&args),
        Command::Gateway(args) => gateway::run(&args),
        Command::Quickstart(args) => quickstart::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Config(args) => config::run(&args.command),
        Command::Replay(args) => replay::run(&args),
        Command::Routes(args) => routes::run(&args),
    }
}

/// Reads a file, naming it in the error.
pub fn read_file(path: &str) -> Result<String, Report<CommandError>> {
    use error_stack::ResultExt;
    std::fs::read_to_string(path)
        .change_context(CommandError(
            "a file could not be read; check its path and rights",
        ))
        .attach_with(|| path.to_string())
}
