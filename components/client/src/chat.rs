//! Streamed chat completions that go on elsewhere when a node dies.

use std::io::{BufRead, BufReader};

use errors::{Kind, MaybeRun, Problem};
use serde_json::Value;

use crate::client::{Client, MAX_TRIES};
use crate::error::ClientError;

const PATH: &str = "/v1/chat/completions";

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its place in the answer, from 0.
    pub offset: u64,
    /// Its text.
    pub text: String,
}

/// A streamed completion; iterate to read it.
pub struct Chat<'a> {
    client: &'a Client,
    body: Value,
    id: String,
    received: Vec<String>,
    resume: Option<String>,
    lines: Option<BufReader<minreq::ResponseLazy>>,
    tries: u32,
    over: bool,
}

impl Client {
    /// Starts a completion. `body` is a chat completion request; it is always streamed.
    pub fn chat(&self, mut body: Value) -> Chat<'_> {
        body["stream"] = Value::Bool(true);
        Chat {
            client: self,
            body,
            id: format!("{:032x}", rand::random::<u128>()),
            received: Vec::new(),
            resume: None,
            lines: None,
            tries: 0,
            over: false,
        }
    }
}

enum Read {
    Part(Answer),
    End,
    Refused(Problem),
    Broken,
}

impl Chat<'_> {
    /// Id of the request, for `croftpond explain`.
    pub fn id(&self) -> &str {
        &self.id
    }

    fn connect(&mut self) -> Result<(), Option<Problem>> {
        let mut body = self.body.clone();
        let mut request = minreq::post(self.client.url(PATH)).with_header("X-Request-Id", &self.id);
        if let Some(resume) = &self.resume {
            body["croftpond_received"] = serde_json::json!(self.received);
            request = request.with_header("Croftpond-Resume", resume);
        }
        let request = self
            .client
            .with_credential(request)
            .with_body(body.to_string());
        let response = request.send_lazy().map_err(|_| None)?;
        let status = response.status_code;
        let mut lines = BufReader::new(response);
        if status == 200 {
            self.lines = Some(lines);
            return Ok(());
        }
        let mut text = String::new();
        let _ = lines.read_line(&mut text);
        Err(Problem::from_json(&text))
    }

    fn read(&mut self) -> Read {
        let Some(lines) = &mut self.lines else {
            return Read::Broken;
        };
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(lines.read_line(&mut line), Ok(n) if n > 0) {
                return Read::Broken;
            }
            let Some(data) = line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Read::End;
            }
            if let Some(problem) = Problem::from_json(data) {
                return Read::Refused(problem);
            }
            if let Some(part) = self.take(data) {
                return Read::Part(part);
            }
            return self.read();
        }
    }

    fn take(&mut self, data: &str) -> Option<Answer> {
        let event: Value = serde_json::from_str(data).ok()?;
        let text = event["choices"][0]["delta"]["content"]
            .as_str()?
            .to_string();
        let offset = event["croftpond"]["offset"].as_u64()?;
        if offset != self.received.len() as u64 {
            return None;
        }
        self.resume = event["croftpond"]["resume"].as_str().map(str::to_string);
        self.received.push(text.clone());
        self.tries = 0;
        Some(Answer { offset, text })
    }

    // Whether another try can bring the answer.
    fn may_go_on(&self, problem: Option<&Problem>) -> bool {
        let lasting = problem.is_some_and(|p| {
            let passes = matches!(
                p.kind,
                Kind::Stopping
                    | Kind::TooManyRequests
                    | Kind::NoEndpoint
                    | Kind::Overloaded
                    | Kind::TeamLimit
                    | Kind::EndpointFailed
            );
            !passes || (p.run == MaybeRun::Unknown && p.kind == Kind::DeadlinePassed)
        });
        self.tries < MAX_TRIES && !lasting
    }

    fn fail(&mut self, problem: Option<Problem>) -> Option<ClientError> {
        self.lines = None;
        self.tries += 1;
        if self.may_go_on(problem.as_ref()) {
            self.client.turn();
            self.client.pause(self.tries, problem.as_ref());
            return None;
        }
        self.over = true;
        Some(problem.map_or(ClientError::Unreachable, ClientError::Refused))
    }
}

impl Iterator for Chat<'_> {
    type Item = Result<Answer, ClientError>;

    fn next(&mut self) -> Option<Self::Item> {
        while !self.over {
            if self.lines.is_none() {
                if let Err(problem) = self.connect() {
                    if let Some(error) = self.fail(problem) {
                        return Some(Err(error));
                    }
                    continue;
                }
            }
            let failed = match self.read() {
                Read::Part(part) => return Some(Ok(part)),
                Read::End => {
                    self.over = true;
                    return None;
                }
                Read::Refused(problem) => self.fail(Some(problem)),
                Read::Broken => self.fail(None),
            };
            if let Some(error) = failed {
                return Some(Err(error));
            }
        }
        None
    }
}
