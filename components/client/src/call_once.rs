//! Calls that must run at most once.

use errors::{Kind, MaybeRun, Problem};

use crate::client::{Client, MAX_TRIES};
use crate::error::ClientError;

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Status of the service.
    pub status: u16,
    /// Body of the service.
    pub body: String,
}

impl Client {
    /// Makes a call of a plain service that must run at most once. The same idempotency key goes
    /// with every try, so that a try whose answer was lost is answered from the first outcome.
    pub fn call_once(&self, path: &str, key: &str, body: &str) -> Result<Outcome, ClientError> {
        let mut last = None;
        for tries in 1..=MAX_TRIES {
            match self.try_once(path, key, body) {
                Ok(outcome) => return Ok(outcome),
                Err(Some(problem)) if !may_retry(&problem) => {
                    return Err(ClientError::Refused(problem));
                }
                Err(problem) => {
                    self.turn();
                    self.pause(tries, problem.as_ref());
                    last = problem;
                }
            }
        }
        Err(last.map_or(ClientError::Unreachable, ClientError::Refused))
    }

    fn try_once(&self, path: &str, key: &str, body: &str) -> Result<Outcome, Option<Problem>> {
        let request = minreq::post(self.url(path)).with_header("Idempotency-Key", key);
        let request = self.with_credential(request).with_body(body);
        let response = request.send().map_err(|_| None)?;
        let body = response.as_str().unwrap_or_default().to_string();
        match Problem::from_json(&body) {
            Some(problem) => Err(Some(problem)),
            // minreq's stand-in for a connection that closed without an answer.
            None if response.status_code == 503 && body.is_empty() => Err(None),
            None => Ok(Outcome {
                status: response.status_code,
                body,
            }),
        }
    }
}

// With the key a second try is always safe; it helps where the first did not run.
fn may_retry(problem: &Problem) -> bool {
    let passes = !matches!(
        problem.kind,
        Kind::KeyReused
            | Kind::UnknownTeam
            | Kind::UnknownRoute
            | Kind::BadHeader
            | Kind::BodyTooLarge
            | Kind::NotFound
    );
    problem.run == MaybeRun::NotRun && passes
}
