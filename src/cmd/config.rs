//! `croftpond config`: get, put, history and diff.

use std::collections::BTreeSet;
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use serde_json::Value;

use super::operator::{Answer, Operator};
use super::{read_file, CommandError, Outcome, EXIT_CONFLICT, EXIT_FAULTS};
use crate::cli::{ConfigCommand, ConfigDiff, ConfigGet, ConfigHistory, ConfigPut};

const NOT_JSON: CommandError = CommandError("the node's answer is not JSON");

/// Runs the command.
pub fn run(command: &ConfigCommand) -> Outcome {
    match command {
        ConfigCommand::Get(args) => get(args),
        ConfigCommand::Put(args) => put(args),
        ConfigCommand::History(args) => history(args),
        ConfigCommand::Diff(args) => diff(args),
    }
}

fn get(args: &ConfigGet) -> Outcome {
    let operator = Operator::new(&args.address, &args.key_file)?;
    print!("{}", body(&operator, args.version)?);
    Ok(ExitCode::SUCCESS)
}

fn put(args: &ConfigPut) -> Outcome {
    let text = read_file(&args.file)?;
    if let Err(faults) = settings::read_configuration(&args.file, &text) {
        eprint!("{faults}");
        return Ok(ExitCode::from(EXIT_FAULTS));
    }
    let operator = Operator::new(&args.address, &args.key_file)?;
    let path = format!("config/{}", args.based_on);
    match operator.post(&path, text, (&args.author, &args.note))? {
        Answer::Done(body) => println!("accepted: {body}"),
        Answer::Conflict(said) => {
            eprintln!("{said}");
            return Ok(ExitCode::from(EXIT_CONFLICT));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn history(args: &ConfigHistory) -> Outcome {
    let body = Operator::new(&args.address, &args.key_file)?.get("history")?;
    if args.json {
        println!("{body}");
        return Ok(ExitCode::SUCCESS);
    }
    let history: Value = serde_json::from_str(&body).change_context(NOT_JSON)?;
    for version in history["versions"].as_array().into_iter().flatten() {
        let text = |key: &str| version[key].as_str().unwrap_or_default().to_string();
        println!(
            "{:>6}  {:<16} {}",
            version["version"],
            text("author"),
            text("note")
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn diff(args: &ConfigDiff) -> Outcome {
    let operator = Operator::new(&args.address, &args.key_file)?;
    let (from, to) = (
        body(&operator, Some(args.from))?,
        body(&operator, Some(args.to))?,
    );
    for line in changed(&from, &to) {
        println!("- {line}");
    }
    for line in changed(&to, &from) {
        println!("+ {line}");
    }
    Ok(ExitCode::SUCCESS)
}

// The lines of a text that another has not, each with the section it stands in.
fn changed(text: &str, other: &str) -> Vec<String> {
    let there: BTreeSet<String> = placed(other).into_iter().collect();
    placed(text)
        .into_iter()
        .filter(|line| !there.contains(line))
        .collect()
}

fn placed(text: &str) -> Vec<String> {
    let mut section = String::new();
    let mut lines = Vec::new();
    for line in text
        .lines()
        .map(str::trim)
        .filter(|l| !l.is_empty() && !l.starts_with(';'))
    {
        if line.starts_with('[') {
            section = line.to_string();
        }
        lines.push(if line == section {
            section.clone()
        } else {
            format!("{section} {line}")
        });
    }
    lines
}

fn body(operator: &Operator, version: Option<i64>) -> Result<String, Report<CommandError>> {
    let path = version.map_or("config".to_string(), |v| format!("config/{v}"));
    let answer: Value = serde_json::from_str(&operator.get(&path)?).change_context(NOT_JSON)?;
    Ok(answer["body"].as_str().unwrap_or_default().to_string())
}
