//! `croftpond status`: what a node knows.

use std::process::ExitCode;

use error_stack::ResultExt;
use serde_json::Value;

use super::operator::Operator;
use super::{CommandError, Outcome};
use crate::cli::Status;

/// Runs the command.
pub fn run(args: &Status) -> Outcome {
    let body = Operator::new(&args.address, &args.key_file)?.get("status")?;
    if args.json {
        println!("{body}");
        return Ok(ExitCode::SUCCESS);
    }
    let status: Value = serde_json::from_str(&body)
        .change_context(CommandError("the node's answer is not JSON"))?;
    print!("{}", shown(&status));
    Ok(ExitCode::SUCCESS)
}

fn shown(status: &Value) -> String {
    let mut text = format!(
        "node {} in {}: ready {}, stopping {}, configuration {}, {} requests held\n",
        status["node"],
        status["hall"],
        status["ready"],
        status["stopping"],
        status["config_version"],
        status["in_flight"],
    );
    for endpoint in status["endpoints"].as_array().into_iter().flatten() {
        text += &format!(
            "  {} ({} in {}): {}/{} in use, usable {}, leaving {}\n",
            endpoint["name"],
            endpoint["pool"],
            endpoint["hall"],
            endpoint["load"],
            endpoint["slots"],
            endpoint["usable"],
            endpoint["leaving"],
        );
    }
    for (name, count) in status["counters"].as_object().into_iter().flatten() {
        if count.as_u64() != Some(0) {
            text += &format!("  {name} {count}\n");
        }
    }
    text.replace('"', "")
}
