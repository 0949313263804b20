//! The croftpond program: dispatches to one module per subcommand.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let cli: cli::Cli = argh::from_env();
    match cmd::run(cli.command) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("croftpond: {report:?}");
            ExitCode::from(cmd::EXIT_FAILED)
        }
    }
}
