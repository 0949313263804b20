//! `croftpond explain`: the decisions made about one request.

use std::process::ExitCode;

use error_stack::ResultExt;
use serde_json::Value;

use super::operator::Operator;
use super::{CommandError, Outcome};
use crate::cli::Explain;

/// Runs the command.
pub fn run(args: &Explain) -> Outcome {
    let operator = Operator::new(&args.address, &args.key_file)?;
    let body = operator.get(&format!("explain/{}", args.request))?;
    if args.json {
        println!("{body}");
        return Ok(ExitCode::SUCCESS);
    }
    let explained: Value = serde_json::from_str(&body)
        .change_context(CommandError("the node's answer is not JSON"))?;
    let records = explained["records"].as_array().cloned().unwrap_or_default();
    if records.is_empty() {
        println!("this node keeps no record of request {}", args.request);
    }
    for record in &records {
        println!("{}", line(record));
    }
    Ok(ExitCode::SUCCESS)
}

/// One record as a line.
pub fn line(record: &Value) -> String {
    let text = |key: &str| record[key].as_str().unwrap_or_default().to_string();
    let next = match text("runner_up") {
        next if next.is_empty() => String::new(),
        next => format!(" (next: {next})"),
    };
    let at = record["at_ms"].as_u64().unwrap_or_default();
    format!(
        "{at:>9} ms  {:<8} {}{next}: {}",
        text("step"),
        text("choice"),
        text("reason")
    )
}
