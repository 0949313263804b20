//! Answering the caller: tokens as they come, and the end.

use std::sync::atomic::Ordering;
use std::time::Duration;

use schema::messages::ResumeToken;
use session::Outcome;
use telemetry::{Counter, Timer};

use super::{ChatRun, RESUME_SECS};
use crate::admission::record;
use crate::outcome::{failure, refusal};
use crate::output::Output;
use crate::reply::Completion;
use crate::shared::unix_millis;

impl ChatRun<'_> {
    pub(super) fn emit(&mut self, attempt: u32, offset: u64, text: String) -> bool {
        let now = self.shared.now();
        self.last_output = now;
        self.hedge_at = None;
        self.shared.metrics.count(Counter::Tokens);
        if !self.first_token {
            self.first_token = true;
            self.shared
                .metrics
                .record_duration(Timer::FirstToken, now - self.call.arrived);
            if let Some(known) = self.attempts.get(&attempt) {
                self.shared.traffic().router.answered(&known.endpoint);
            }
        }
        self.received.push(text.clone());
        self.given.store(offset + 1, Ordering::Relaxed);
        if !self.chat.stream {
            return self.output.collect(&text);
        }
        let completion = self.completion();
        let resume = self.resume_token(attempt, offset);
        let event = completion.event(offset, &text, &resume);
        self.output.send(&self.call.id, &event)
    }

    pub(super) fn resume_token(&self, attempt: u32, offset: u64) -> String {
        let known = self.attempts.get(&attempt);
        let token = ResumeToken {
            request: self.call.id.clone(),
            team: self.call.team.name.clone(),
            endpoint: known.map(|a| a.endpoint.clone()).unwrap_or_default(),
            stream: known.and_then(|a| a.stream.clone()).unwrap_or_default(),
            attempt: attempt as i32,
            offset: offset as i64 + 1,
            body_sha256: self.body_sha256.clone(),
            expires: unix_millis() / 1000 + RESUME_SECS,
        };
        transport::issue_resume_token(&self.shared.resume_key, &token)
    }

    pub(super) fn completion(&self) -> Completion {
        Completion {
            id: self.call.id.clone(),
            model: self.chat.model.clone(),
        }
    }

    pub(super) fn conclude(&mut self) {
        let now = self.shared.now();
        self.settle_attempts(now);
        let outcome = self.outcome.unwrap_or(Outcome::Abandoned);
        record(
            self.shared,
            &self.call,
            "finish",
            "",
            format!("{outcome:?}"),
        );
        self.shared
            .metrics
            .record_duration(Timer::RequestTotal, now - self.call.arrived);
        let output = std::mem::replace(&mut self.output, Output::Gone);
        match outcome {
            Outcome::Done { total } => {
                self.shared.metrics.count(Counter::Done);
                self.shared.traffic().succeeded();
                output.finish(&self.completion(), total, self.chat.stream);
            }
            Outcome::Refused(reason) => {
                self.shared.metrics.count(Counter::Refused);
                output.fail(&self.call.id, refusal(reason));
            }
            Outcome::Failed(reason) => {
                self.shared.metrics.count(Counter::Failed);
                output.fail(&self.call.id, failure(reason));
            }
            Outcome::Abandoned => self.shared.metrics.count(Counter::Abandoned),
        }
    }

    // The attempt that delivered the end is over without having been cancelled.
    pub(super) fn settle_attempts(&mut self, now: Duration) {
        for attempt in std::mem::take(&mut self.attempts).into_values() {
            self.shared
                .traffic()
                .ended(now, &attempt.endpoint, now - attempt.sent);
        }
    }
}
