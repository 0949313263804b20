//! Writes the traces under `traces/` anew.

use argh::FromArgs;
use replay::{generate, write, Deployment, Expect, Line, Story};

/// A trace and the outcomes that it states beside the promises.
struct Recording {
    name: &'static str,
    deployment: Deployment,
    story: Story,
    lost: u64,
    past_target_milli: [u64; 3],
}

const RECORDINGS: [Recording; 6] = [
    Recording {
        name: "waitemata-boarding-rush",
        deployment: Deployment::Waitemata,
        story: Story::Rush,
        lost: 0,
        past_target_milli: [5, 5, 10],
    },
    // With half of the fleet gone and not replaced, the lower classes wait.
    Recording {
        name: "waitemata-halls-reclaimed-twice",
        deployment: Deployment::Waitemata,
        story: Story::HallTwice { notice_ms: 8000 },
        lost: 0,
        past_target_milli: [30, 200, 200],
    },
    Recording {
        name: "habi-payday-weekend",
        deployment: Deployment::Habi,
        story: Story::Rush,
        lost: 0,
        past_target_milli: [10, 25, 10],
    },
    Recording {
        name: "habi-market-tuesday",
        deployment: Deployment::Habi,
        story: Story::Drafts,
        lost: 0,
        past_target_milli: [5, 20, 5],
    },
    // Calls that stall past their deadline are reported as failed with an unknown outcome.
    Recording {
        name: "habi-april-evening",
        deployment: Deployment::Habi,
        story: Story::Stalled,
        lost: 30,
        past_target_milli: [25, 5, 5],
    },
    // Three seconds of notice: hardly a stream ends before its VM goes.
    Recording {
        name: "waitemata-halls-reclaimed-in-three-seconds",
        deployment: Deployment::Waitemata,
        story: Story::HallTwice { notice_ms: 3000 },
        lost: 0,
        past_target_milli: [20, 150, 300],
    },
];

const TRACE_SECS: u64 = 45;

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
    for (n, recording) in RECORDINGS.iter().enumerate() {
        let seed = n as u64 + 1;
        let mut lines = generate(recording.deployment, recording.story, TRACE_SECS, seed);
        lines.push(Line::Expect(stated(recording)));
        let path = format!("{}/{}.jsonl", args.to, recording.name);
        let text = format!(
            "# generated from seed {seed}, see docs/traces.md\n{}",
            write(&lines)
        );
        match std::fs::write(&path, text) {
            Ok(()) => println!("{path}: {} lines", lines.len()),
            Err(error) => eprintln!("{path}: {error}"),
        }
    }
}

fn stated(recording: &Recording) -> Expect {
    Expect {
        lost: Some(recording.lost),
        wrong_parts: Some(0),
        run_twice: Some(0),
        false_not_run: Some(0),
        late_starts: Some(0),
        past_target_milli: Some(recording.past_target_milli),
        refused_milli: Some([0, 0, 0]),
        attempts_milli: Some(1100),
    }
}
