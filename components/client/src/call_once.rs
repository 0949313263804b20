//! Calls that must run at most once, retried under an idempotency key.

use errors::{Kind, MaybeRun, Problem};
use http::header::AUTHORIZATION;
use http::Request;
use transport::{call, CallLimits, FullBody, WholeAnswer};

use crate::client::{Client, MAX_ATTEMPTS};
use crate::error::ClientError;

/// Limits of an attempt. The node ends it at the team's deadline.
const LIMITS: CallLimits = CallLimits {
    timeout: None,
    max_body_bytes: 16 << 20,
};

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
        let answer = self.post_once(path, key, body).ok_or(None)?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        match Problem::from_json(&body) {
            Some(problem) => Err(Some(problem)),
            None => Ok(ServiceAnswer {
                status: answer.status.as_u16(),
                body,
            }),
        }
    }

    // Returns `None` if no whole, valid answer came.
    fn post_once(&self, path: &str, key: &str, body: &str) -> Option<WholeAnswer> {
        let request = Request::post(path)
            .header("Idempotency-Key", key)
            .header(AUTHORIZATION, self.authorization())
            .body(FullBody::new(body.to_string().into()));
        call(self.address(), request.ok()?, LIMITS).ok()
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
