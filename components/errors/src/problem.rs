//! An error as it is returned to a caller, with its JSON format.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::kind::{Kind, MaybeRun};

/// An error with its remedy. JSON: `{"error": {"kind", "message", "remedy", "run", ...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the error.
    pub kind: Kind,
    /// What happened, with the offending value unless it is secret.
    pub message: String,
    /// What the caller or operator can do about it.
    pub remedy: String,
    /// Whether the request may have run.
    pub run: MaybeRun,
    /// Delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    error: Problem,
}

impl Problem {
    /// An error of a request that was not run, with the remedy of its kind.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Problem {
            kind,
            message: message.into(),
            remedy: kind.remedy().to_string(),
            run: MaybeRun::NotRun,
            retry_after_ms: None,
            request_id: None,
        }
    }

    /// An error of a request that may have run, with the remedy of its kind.
    pub fn maybe_run(kind: Kind, message: impl Into<String>) -> Self {
        Problem {
            run: MaybeRun::Unknown,
            ..Self::not_run(kind, message)
        }
    }

    /// Sets the delay before a retry.
    pub fn with_retry_after_ms(self, ms: u64) -> Self {
        Problem {
            retry_after_ms: Some(ms),
            ..self
        }
    }

    /// Sets the id of the request.
    pub fn with_request_id(self, id: &str) -> Self {
        Problem {
            request_id: Some(id.to_string()),
            ..self
        }
    }

    /// Serializes to the JSON that callers receive.
    pub fn to_json(&self) -> String {
        let envelope = Envelope {
            error: self.clone(),
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// Parses the JSON that callers receive; `None` if it is malformed.
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str::<Envelope>(text).ok().map(|e| e.error)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; remedy: {}", self.message, self.remedy)
    }
}

impl std::error::Error for Problem {}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn json_round_trips() {
        let problem = Problem::not_run(Kind::TeamLimit, "rate").with_retry_after_ms(20);
        assert_eq!(Problem::from_json(&problem.to_json()), Some(problem));
    }
}
