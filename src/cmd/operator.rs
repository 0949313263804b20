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
        let request = minreq::get(format!("http://{}/operator/{path}", self.address));
        let response = request
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout(TIMEOUT_SECS)
            .send()
            .change_context(FAILED)
            .attach_with(|| format!("node at {}", self.address))?;
        let body = response.as_str().change_context(FAILED)?.to_string();
        match response.status_code {
            200 => Ok(body),
            status => Err(refused(status, &body)),
        }
    }
}

fn refused(status: u16, body: &str) -> Report<CommandError> {
    let said = Problem::from_json(body).map_or(body.to_string(), |p| p.to_string());
    Report::new(FAILED).attach(format!("status {status}: {said}"))
}
