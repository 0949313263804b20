//! Calls of a node's operator interface.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use errors::Problem;
use http::header::AUTHORIZATION;
use http::request::Builder;
use http::Request;
use transport::{call, CallLimits, FullBody};

use super::{read_file, CommandError};

/// Limits of a call. Answers are configurations and reports.
const LIMITS: CallLimits = CallLimits {
    timeout: Some(Duration::from_secs(30)),
    max_body_bytes: 16 << 20,
};
const FAILED: CommandError = CommandError("the node did not do what was asked");

/// A node and the key to operate it.
pub struct Operator {
    address: String,
    key: String,
}

impl Operator {
    /// The node at an address, with the key kept in a file.
    pub fn new(address: &str, key_file: &str) -> Result<Self, Report<CommandError>> {
        let key = read_file(key_file)?.trim().to_string();
        Ok(Operator {
            address: address.to_string(),
            key,
        })
    }

    /// Makes a call and returns its body.
    pub fn get(&self, path: &str) -> Result<String, Report<CommandError>> {
        let (status, body) = self.send(Request::get(operator_path(path)), String::new())?;
        match status {
            200 => Ok(body),
            status => Err(refused(status, &body)),
        }
    }

    /// Sends an edit with its author and note.
    pub fn post(
        &self,
        path: &str,
        body: String,
        (author, note): (&str, &str),
    ) -> Result<Answer, Report<CommandError>> {
        let request = Request::post(operator_path(path))
            .header("Croftpond-Author", author)
            .header("Croftpond-Note", note);
        let (status, body) = self.send(request, body)?;
        match status {
            200 => Ok(Answer::Done(body)),
            409 => Ok(Answer::Conflict(said(&body))),
            status => Err(refused(status, &body)),
        }
    }

    fn send(&self, request: Builder, body: String) -> Result<(u16, String), Report<CommandError>> {
        let request = request
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(FullBody::new(body.into()))
            .change_context(FAILED)?;
        let answer = call(&self.address, request, LIMITS)
            .change_context(FAILED)
            .attach_with(|| format!("node at {}", self.address))?;
        let body = std::str::from_utf8(&answer.body).change_context(FAILED)?;
        Ok((answer.status.as_u16(), body.to_string()))
    }
}

fn operator_path(path: &str) -> String {
    format!("/operator/{path}")
}

/// How an edit was answered.
pub enum Answer {
    /// It was done.
    Done(String),
    /// Another edit came first.
    Conflict(String),
}

fn said(body: &str) -> String {
    Problem::from_json(body).map_or(body.to_string(), |p| p.to_string())
}

fn refused(status: u16, body: &str) -> Report<CommandError> {
    Report::new(FAILED).attach(format!("status {status}: {}", said(body)))
}
