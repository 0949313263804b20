//! Measurements: the decisions beside their baselines, the time a node adds, and the slopes that
//! docs/CAPACITY.md is worked out from. Speeds belong here, never in tests.

mod capacity;
mod decisions;
mod loopback;
mod overhead;
mod process;
mod table;
mod traces;

use argh::FromArgs;

/// Measures croftpond; run it with `cargo run --release -p bench -- COMMAND`.
#[derive(FromArgs)]
struct Cli {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(capacity::Capacity),
    Decisions(decisions::Decisions),
    Overhead(overhead::Overhead),
    Table(table::Table),
    Traces(traces::Traces),
}

fn main() {
    let cli: Cli = argh::from_env();
    match cli.command {
        Command::Capacity(args) => capacity::run(&args),
        Command::Decisions(args) => decisions::run(&args),
        Command::Overhead(args) => overhead::run(&args),
        Command::Table(args) => table::run(&args),
        Command::Traces(args) => traces::run(&args),
    }
}
