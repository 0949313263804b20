//! Writes the traces under `traces/` anew.

use argh::FromArgs;
use replay::{generate, write, Deployment, Story};

const TRACES: [(&str, Deployment, Story); 5] = [
    (
        "waitemata-boarding-rush",
        Deployment::Waitemata,
        Story::Rush,
    ),
    (
        "waitemata-halls-reclaimed-twice",
        Deployment::Waitemata,
        Story::HallTwice,
    ),
    ("habi-payday-weekend", Deployment::Habi, Story::Rush),
    ("habi-market-tuesday", Deployment::Habi, Story::Drafts),
    ("habi-april-evening", Deployment::Habi, Story::Stalled),
];

/// write the traces anew from their seeds
#[derive(FromArgs)]
#[argh(subcommand, name = "traces")]
pub struct Traces {
    /// folder to write to
    #[argh(option, default = "String::from(\"traces\")")]
    to: String,
}

/// Runs the command.
pub fn run(args: &Traces) {
    for (seed, (name, deployment, story)) in TRACES.iter().enumerate() {
        let lines = generate(*deployment, *story, seed as u64 + 1);
        let path = format!("{}/{name}.jsonl", args.to);
        let text = format!(
            "# {name}: generated from a seed, see docs/traces.md\n{}",
            write(&lines)
        );
        match std::fs::write(&path, text) {
            Ok(()) => println!("{path}: {} lines", lines.len()),
            Err(error) => eprintln!("{path}: {error}"),
        }
    }
}
