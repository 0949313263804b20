//! `croftpond quickstart`: everything in one process, and a sample session printed.

use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use node::Node;
use standins::{Fleet, FleetOptions};

use super::signals::StopSignals;
use super::{CommandError, Outcome};
use crate::cli::Quickstart;

const FAILED: CommandError = CommandError("the quickstart failed");
const TOKENS: u32 = 12;

/// Runs the command.
pub fn run(args: &Quickstart) -> Outcome {
    let mut signals = StopSignals::new()?;
    let log = telemetry::logger("terminal", "quickstart");
    let mut fleet = Fleet::start(&FleetOptions::default(), &log).change_context(FAILED)?;
    for node in 0..fleet.nodes.len() {
        print_chat(&fleet, node)?;
    }
    print_holds(&fleet)?;
    if args.keep {
        println!("\nrunning until SIGTERM or SIGINT");
        signals.wait();
    }
    let nodes = std::mem::take(&mut fleet.nodes);
    match nodes.into_iter().all(Node::finish_stop) {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(super::EXIT_FAILED)),
    }
}

fn print_chat(fleet: &Fleet, node: usize) -> Result<(), Report<CommandError>> {
    let address = fleet.nodes[node].address();
    println!("\na chat completion through the node at {address}:");
    for data in fleet.chat(node, "Tell me of the weaver.", TOKENS) {
        println!("  {}", shorten(&data));
        if data == "[DONE]" {
            return Ok(());
        }
    }
    Err(Report::new(FAILED).attach("the stream ended before its end"))
}

fn print_holds(fleet: &Fleet) -> Result<(), Report<CommandError>> {
    println!("\na hold that must not be repeated, sent to each node with one key:");
    for node in 0..fleet.nodes.len() {
        let response = fleet.hold(node, "/holds/perfume-7", Some("flight-nz5-seat-12a"));
        let stored = response
            .header("croftpond-stored")
            .unwrap_or("no")
            .to_string();
        let body = response.as_str().change_context(FAILED)?;
        println!(
            "  {} {body} (from the stored outcome: {stored})",
            response.status_code
        );
    }
    Ok(())
}

// The text and offset of an event are enough to read here.
fn shorten(data: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    match event["choices"][0]["delta"]["content"].as_str() {
        Some(text) => format!("{}: {text}", event["croftpond"]["offset"]),
        None => data.to_string(),
    }
}
