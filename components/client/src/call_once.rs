//! Calls that must run at most once, retried under an idempotency key.

use errors::{Kind, MaybeRun, Problem};

use crate::client::{Client, MAX_ATTEMPTS};
use crate::error::ClientError;

/// Answer of the service to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body of the answer.
    pub body: String,
}

impl Client {
    /// Calls a service with `POST`; the call runs at most once. Every attempt carries the same
    /// idempotency key, so an attempt after a lost answer gets the stored outcome of the first one.
    pub fn call_once(
        &self,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<ServiceAnswer, ClientError> {
        let mut last_problem = None;
        for attempts in 1..=MAX_ATTEMPTS {
            match self.attempt_call(path, key, body) {
                Ok(outcome) => return Ok(outcome),
                Err(Some(problem)) if !can_retry(&problem) => {
                    return Err(ClientError::Refused(problem));
                }
                Err(problem) => {
                    self.switch_address();
                    self.pause(attempts, problem.as_ref());
                    last_problem = problem;
                }
            }
        }
        Err(last_problem.map_or(ClientError::Unreachable, ClientError::Refused))
    }

    fn attempt_call(
        &self,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<ServiceAnswer, Option<Problem>> {
        let request = minreq::post(self.url(path)).with_header("Idempotency-Key", key);
        let request = self.with_credential(request).with_body(body);
        let response = request.send().map_err(|_| None)?;
        let body = response.as_str().unwrap_or_default().to_string();
        match Problem::from_json(&body) {
            Some(problem) => Err(Some(problem)),
            // minreq reports a connection that closed without an answer as an empty 503.
            None if response.status_code == 503 && body.is_empty() => Err(None),
            None => Ok(ServiceAnswer {
                status: response.status_code,
                body,
            }),
        }
    }
}

// The idempotency key makes a retry always safe; it is useful only if the first attempt did not run and
// the refusal is transient.
fn can_retry(problem: &Problem) -> bool {
    let is_transient = !matches!(
        problem.kind,
        Kind::KeyReused
            | Kind::UnknownTeam
            | Kind::UnknownRoute
            | Kind::BadHeader
            | Kind::BodyTooLarge
            | Kind::NotFound
    );
    problem.run == MaybeRun::NotRun && is_transient
}
