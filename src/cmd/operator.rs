//! Calls of a node's operator interface.

use error_stack::{Report, ResultExt};
use errors::Problem;

use super::{read_file, CommandError};

const TIMEOUT_SECS: u64 = 30;
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
        let (status, body) = self.send(minreq::get(self.url(path)))?;
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
        let request = minreq::post(self.url(path))
            .with_header("Croftpond-Author", author)
            .with_header("Croftpond-Note", note)
            .with_body(body);
        let (status, body) = self.send(request)?;
        match status {
            200 => Ok(Answer::Done(body)),
            409 => Ok(Answer::Conflict(said(&body))),
            status => Err(refused(status, &body)),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/operator/{path}", self.address)
    }

    fn send(&self, request: minreq::Request) -> Result<(u16, String), Report<CommandError>> {
        let response = request
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout(TIMEOUT_SECS)
            .send()
            .change_context(FAILED)
            .attach_with(|| format!("node at {}", self.address))?;
        let body = response.as_str().change_context(FAILED)?.to_string();
        Ok((response.status_code, body))
    }
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
