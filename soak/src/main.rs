//! `soak`: plays a plan of faults against gateways on loopback, and judges what was seen.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use soak::checks::all;
use soak::{run, Options, Plan, Programs, Record, Report};

/// Injects faults into croftpond gateways on loopback and checks what their surroundings saw.
#[derive(FromArgs)]
struct Cli {
    /// seed of the plan (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds of the run, at least 30 (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// gateways, 1 to 12 (default 6)
    #[argh(option, default = "6")]
    gateways: usize,
    /// the croftpond program (default target/release/croftpond)
    #[argh(option, default = "PathBuf::from(\"target/release/croftpond\")")]
    program: PathBuf,
    /// an earlier build of the program: all gateways begin as it, and are replaced one after the other
    #[argh(option)]
    older: Option<PathBuf>,
    /// folder in which the run makes one of its own (default target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    out: PathBuf,
    /// judge the history of an earlier run, in this file, again and stop
    #[argh(option)]
    judge: Option<PathBuf>,
    /// print the plan and stop
    #[argh(switch)]
    plan: bool,
}

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    if cli.seconds < 30 || !(1..=12).contains(&cli.gateways) {
        eprintln!("take at least 30 seconds, and 1 to 12 gateways");
        return ExitCode::from(2);
    }
    let plan = Plan::new(cli.seed, cli.seconds, cli.gateways);
    let plan = match cli.older {
        Some(_) => plan.with_older(),
        None => plan,
    };
    print!("{plan}");
    if cli.plan {
        return ExitCode::SUCCESS;
    }
    if let Some(history) = &cli.judge {
        return match judge_again(&plan, history) {
            Ok(report) => tell(&report),
            Err(error) => {
                eprintln!("{} can't be judged: {error}", history.display());
                ExitCode::from(2)
            }
        };
    }
    let options = Options {
        programs: Programs {
            current: cli.program,
            older: cli.older,
        },
        out: cli.out,
        progress: true,
    };
    match run(&plan, &options) {
        Ok(report) => tell(&report),
        Err(error) => {
            eprintln!("the soak could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn judge_again(plan: &Plan, history: &Path) -> std::io::Result<Report> {
    let records: Vec<Record> = serde_json::from_slice(&std::fs::read(history)?)?;
    let verdicts = all(&records, plan.gateways);
    Ok(Report::new(plan, &records, verdicts, 0))
}

fn tell(report: &Report) -> ExitCode {
    print!("{report}");
    println!("{}", report.to_json());
    ExitCode::from(u8::from(!report.is_sound()))
}
