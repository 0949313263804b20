//! `croftpond replay`: traces against their stated outcomes.

use std::process::ExitCode;

use error_stack::ResultExt;
use replay::{parse, replay, Expect, Line, Options};

use super::{read_file, CommandError, Outcome, EXIT_MISSED};
use crate::cli::Replay;

/// Runs the command.
pub fn run(args: &Replay) -> Outcome {
    let mut missed = false;
    for file in &args.files {
        let lines = parse(&read_file(file)?)
            .change_context(CommandError("a trace could not be read"))
            .attach_with(|| file.clone())?;
        let options = Options {
            nodes: args.nodes.max(1),
            ..Options::default()
        };
        let report = replay(&lines, options);
        println!("{file}:\n{report}");
        for miss in expectations(&lines).flat_map(|e| report.misses(e)) {
            println!("MISSED: {miss}");
            missed = true;
        }
    }
    Ok(ExitCode::from(if missed { EXIT_MISSED } else { 0 }))
}

fn expectations(lines: &[Line]) -> impl Iterator<Item = &Expect> {
    lines.iter().filter_map(|line| match line {
        Line::Expect(expect) => Some(expect),
        _ => None,
    })
}
