//! One error as it is shown to a caller, in the documented JSON shape.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::kind::{Kind, MaybeRun};

/// An error with its remedy. JSON: `{"error": {"kind", "message", "remedy", "run", ...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the error.
    pub kind: Kind,
    /// What happened, with the offending value where it is no secret.
    pub message: String,
    /// What the reader can do.
    pub remedy: String,
    /// Whether the request may have run.
    pub run: MaybeRun,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    error: Problem,
}

impl Problem {
    /// An error of a request that was not run.
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

    /// An error of a request that may have run.
    pub fn maybe_run(kind: Kind, message: impl Into<String>) -> Self {
        Problem {
            run: MaybeRun::Unknown,
            ..Self::not_run(kind, message)
        }
    }

    /// The same error with a time to come back.
    pub fn with_retry_after_ms(self, ms: u64) -> Self {
        Problem {
            retry_after_ms: Some(ms),
            ..self
        }
    }

    /// The same error with the id of its request.
    pub fn with_request_id(self, id: &str) -> Self {
        Problem {
            request_id: Some(id.to_string()),
            ..self
        }
    }

    /// The JSON shown to callers.
    pub fn to_json(&self) -> String {
        let envelope = Envelope {
            error: self.clone(),
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// Reads the JSON shown to callers.
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
    fn can_read_its_own_json() {
        let problem = Problem::not_run(Kind::TeamLimit, "rate").with_retry_after_ms(20);
        assert_eq!(Problem::from_json(&problem.to_json()), Some(problem));
    }
}
