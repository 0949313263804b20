//! The line format of a trace: one JSON object a line, in the order of time.
//!
//! docs/traces.md describes it. Times are in milliseconds from the start of the trace.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// An endpoint that stands from the start.
    Endpoint(EndpointLine),
    /// A request that arrives.
    Request(RequestLine),
    /// A reclaim notice for a whole data hall or one endpoint.
    Notice(NoticeLine),
    /// A replaced VM bears the endpoint's name again.
    Replaced {
        /// Time.
        at: u64,
        /// Endpoint.
        endpoint: String,
    },
    /// The services of a pool stop answering for a while; calls run all the same.
    Stall {
        /// Time.
        at: u64,
        /// Pool.
        pool: String,
        /// How long.
        for_ms: u64,
    },
    /// A stated outcome.
    Expect(Expect),
}

/// An endpoint of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointLine {
    /// Name.
    pub name: String,
    /// Pool; a pool named `service` holds plain services.
    pub pool: String,
    /// Data hall.
    pub hall: String,
    /// Whether its VM is on demand.
    #[serde(default)]
    pub on_demand: bool,
    /// Price an hour, in thousandths.
    pub price_milli: i64,
    /// Slots.
    pub slots: i32,
}

/// A request of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLine {
    /// Time.
    pub at: u64,
    /// Pool.
    pub pool: String,
    /// Class: 0 interactive, 1 standard, 2 batch.
    pub class: i32,
    /// Target time to the first token or answer.
    pub target_ms: u64,
    /// Deadline after arrival.
    pub deadline_ms: u64,
    /// Weight of latency, 0 to 100.
    pub weight: u32,
    /// Number of the conversation; a service call has one of its own.
    pub conversation: u64,
    /// Number of the system prompt that the conversation opens with.
    #[serde(default)]
    pub system: u64,
    /// Tokens of that system prompt.
    #[serde(default)]
    pub system_tokens: u32,
    /// Tokens of the whole prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the prompt that an earlier turn had already.
    #[serde(default)]
    pub earlier_tokens: u32,
    /// Tokens of the answer; 1 for a service call.
    pub tokens: u32,
    /// Whether it may run twice.
    pub repeatable: bool,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeLine {
    /// Time.
    pub at: u64,
    /// Data hall whose reclaimable endpoints go; `None` for one endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hall: Option<String>,
    /// The one endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<String>,
    /// Time left.
    pub left_ms: u64,
}

/// A stated outcome; a missing key states nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Expect {
    /// Accepted requests that ended without their whole answer, at most.
    pub lost: Option<u64>,
    /// Parts that came twice, out of order or from another answer, at most.
    pub wrong_parts: Option<u64>,
    /// Non-repeatable requests that ran more than once, at most.
    pub run_twice: Option<u64>,
    /// Requests called not run that ran, at most.
    pub false_not_run: Option<u64>,
    /// Work begun on an endpoint more than three seconds after its notice, at most.
    pub late_starts: Option<u64>,
    /// Requests past their target, in thousandths of those of the class, at most; by class.
    pub past_target_milli: Option<[u64; 3]>,
    /// Requests refused, in thousandths of those of the class, at most; by class.
    pub refused_milli: Option<[u64; 3]>,
    /// Attempts for a thousand requests, at most.
    pub attempts_milli: Option<u64>,
}

/// A line that is no line of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError {
    /// Its number, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {}; see docs/traces.md for the format",
            self.line, self.message
        )
    }
}

impl std::error::Error for TraceError {}

/// Reads a trace; blank lines and lines that start with `#` are skipped.
pub fn parse(text: &str) -> Result<Vec<Line>, TraceError> {
    let lines = text.lines().enumerate();
    let reported = lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'));
    reported
        .map(|(n, line)| {
            serde_json::from_str(line).map_err(|e| TraceError {
                line: n + 1,
                message: e.to_string(),
            })
        })
        .collect()
}

/// Writes a trace.
pub fn write(lines: &[Line]) -> String {
    let line = |l: &Line| serde_json::to_string(l).unwrap_or_default() + "\n";
    lines.iter().map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_read_what_it_writes() {
        let lines = vec![
            Line::Replaced {
                at: 3,
                endpoint: "w1".into(),
            },
            Line::Expect(Expect {
                lost: Some(0),
                ..Expect::default()
            }),
        ];
        assert_eq!(parse(&write(&lines)), Ok(lines));
    }

    #[test]
    fn errors_on_a_bad_line_with_its_number() {
        let error = parse("# a trace\n\n{\"request\":{}}\n").unwrap_err();
        assert_eq!(error.line, 3);
    }
}
