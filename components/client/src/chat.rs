//! Streamed chat completions, resumed at another node when a node fails.

use std::io::{BufRead, BufReader};

use errors::{Kind, MaybeRun, Problem};
use serde_json::Value;

use crate::client::{Client, MAX_ATTEMPTS};
use crate::error::ClientError;

const PATH: &str = "/v1/chat/completions";

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerPart {
    /// Index of the part in the answer, from 0.
    pub offset: u64,
    /// Text of the part.
    pub text: String,
}

/// A streamed completion: an iterator over the parts of the answer.
pub struct ChatStream<'a> {
    client: &'a Client,
    body: Value,
    id: String,
    received: Vec<String>,
    resume: Option<String>,
    lines: Option<BufReader<minreq::ResponseLazy>>,
    attempts: u32,
    is_finished: bool,
}

impl Client {
    /// Prepares a completion; the first call of `next` sends it. `body` is a chat completion request, whose
    /// `stream` is set to true.
    pub fn chat(&self, mut body: Value) -> ChatStream<'_> {
        body["stream"] = Value::Bool(true);
        ChatStream {
            client: self,
            body,
            id: format!("{:032x}", rand::random::<u128>()),
            received: Vec::new(),
            resume: None,
            lines: None,
            attempts: 0,
            is_finished: false,
        }
    }
}

enum ReadResult {
    Part(AnswerPart),
    End,
    Refused(Problem),
    Broken,
}

impl ChatStream<'_> {
    /// Id of the request, as `croftpond explain` takes it.
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

    fn read(&mut self) -> ReadResult {
        let Some(lines) = &mut self.lines else {
            return ReadResult::Broken;
        };
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(lines.read_line(&mut line), Ok(n) if n > 0) {
                return ReadResult::Broken;
            }
            let Some(data) = line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return ReadResult::End;
            }
            if let Some(problem) = Problem::from_json(data) {
                return ReadResult::Refused(problem);
            }
            if let Some(part) = self.parse_event(data) {
                return ReadResult::Part(part);
            }
            return self.read();
        }
    }

    fn parse_event(&mut self, data: &str) -> Option<AnswerPart> {
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
        self.attempts = 0;
        Some(AnswerPart { offset, text })
    }

    // Whether another attempt can complete the answer.
    fn can_retry(&self, problem: Option<&Problem>) -> bool {
        let is_permanent = problem.is_some_and(|p| {
            let is_transient = matches!(
                p.kind,
                Kind::Stopping
                    | Kind::TooManyRequests
                    | Kind::NoEndpoint
                    | Kind::Overloaded
                    | Kind::TeamLimit
                    | Kind::EndpointFailed
            );
            !is_transient || (p.run == MaybeRun::Unknown && p.kind == Kind::DeadlinePassed)
        });
        self.attempts < MAX_ATTEMPTS && !is_permanent
    }

    fn record_failure(&mut self, problem: Option<Problem>) -> Option<ClientError> {
        self.lines = None;
        self.attempts += 1;
        if self.can_retry(problem.as_ref()) {
            self.client.switch_address();
            self.client.pause(self.attempts, problem.as_ref());
            return None;
        }
        self.is_finished = true;
        Some(problem.map_or(ClientError::Unreachable, ClientError::Refused))
    }
}

impl Iterator for ChatStream<'_> {
    type Item = Result<AnswerPart, ClientError>;

    fn next(&mut self) -> Option<Self::Item> {
        while !self.is_finished {
            if self.lines.is_none() {
                if let Err(problem) = self.connect() {
                    if let Some(error) = self.record_failure(problem) {
                        return Some(Err(error));
                    }
                    continue;
                }
            }
            let failed = match self.read() {
                ReadResult::Part(part) => return Some(Ok(part)),
                ReadResult::End => {
                    self.is_finished = true;
                    return None;
                }
                ReadResult::Refused(problem) => self.record_failure(Some(problem)),
                ReadResult::Broken => self.record_failure(None),
            };
            if let Some(error) = failed {
                return Some(Err(error));
            }
        }
        None
    }
}
