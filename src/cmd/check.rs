//! `croftpond check`: all faults of settings and configuration at once.

use std::process::ExitCode;

use settings::Faults;

use super::{read_file, Outcome, EXIT_FAULTS};
use crate::cli::Check;

/// Runs the command.
pub fn run(args: &Check) -> Outcome {
    let mut good = true;
    if let Some(path) = &args.node {
        good &= shown(path, settings::read_node(path, &read_file(path)?));
    }
    if let Some(path) = &args.gateway {
        good &= shown(path, settings::read_gateway(path, &read_file(path)?));
    }
    if let Some(path) = &args.configuration {
        good &= shown(path, settings::read_configuration(path, &read_file(path)?));
    }
    match good {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(EXIT_FAULTS)),
    }
}

fn shown<T>(path: &str, read: Result<T, Faults>) -> bool {
    match read {
        Ok(_) => println!("{path}: no faults"),
        Err(ref faults) => eprint!("{faults}"),
    }
    read.is_ok()
}
