//! A chat completion: reading the request, admission, and taking up a stream again.

use std::sync::Arc;

use errors::{Kind, Problem};
use provider::body_hash;
use schema::messages::ResumeToken;
use schema::settings::Team;
use telemetry::{Counter, RequestSpan};
use tiny_http::Request;
use transport::ChatRequest;

use crate::admission::admit;
use crate::call::Call;
use crate::chat_run::{ChatRun, Work, DEFAULT_TOKENS};
use crate::reply::send_problem;
use crate::shared::{unix_millis, Shared};

/// Most tokens of an answer.
const MAX_TOKENS: u32 = 16_384;

/// Serves one chat completion to its end.
pub fn serve_chat(
    shared: &Arc<Shared>,
    request: Request,
    body: &str,
    call: Call,
    hop: RequestSpan,
) {
    let chat = match parse(body) {
        Ok(chat) => chat,
        Err(problem) => return send_problem(request, &problem.with_request_id(&call.id)),
    };
    let snapshot = shared.snapshot.load_full();
    let Some(pool) = snapshot.model_pool(&call.team, &chat.model).cloned() else {
        let message = format!(
            "no pool of team {} serves model {}",
            call.team.name, chat.model
        );
        let problem = Problem::not_run(Kind::UnknownRoute, message);
        return send_problem(request, &problem.with_request_id(&call.id));
    };
    let hash = original_hash(body);
    let resumed = match take_resume(shared, &call, body, &hash) {
        Ok(resumed) => resumed,
        Err(problem) => return send_problem(request, &problem.with_request_id(&call.id)),
    };
    let (sender, receiver) = flume::unbounded();
    let most = u64::from(chat.max_tokens.unwrap_or(DEFAULT_TOKENS));
    let team = call.team.clone();
    let cost = price_milli(most, &team);
    let admitted = {
        let _hop = hop.child("admission");
        admit(shared, &call, &pool.name, cost, (&sender, &receiver))
    };
    match admitted {
        Ok(admission) => {
            let work = Work {
                call,
                chat,
                pool: &pool,
                body_sha256: hash,
                resumed,
            };
            let mut run = ChatRun::new(shared, work, admission.id, (sender, receiver));
            run.serve(request, &hop);
            admission.spent(price_milli(run.given(), &team));
        }
        Err(problem) => {
            shared.metrics.count(Counter::Refused);
            send_problem(request, &problem.with_request_id(&call.id));
        }
    }
}

fn parse(body: &str) -> Result<ChatRequest, Problem> {
    let chat: ChatRequest = serde_json::from_str(body).map_err(|e| {
        Problem::not_run(Kind::MalformedBody, format!("the body is malformed: {e}"))
    })?;
    if chat.messages.is_empty() {
        let message = "the body has no messages";
        return Err(Problem::not_run(Kind::MalformedBody, message));
    }
    if chat.max_tokens.is_some_and(|n| n == 0 || n > MAX_TOKENS) {
        let message = format!("max_tokens is not from 1 to {MAX_TOKENS}");
        return Err(Problem::not_run(Kind::MalformedBody, message));
    }
    Ok(chat)
}

// A request is charged for all tokens it may get, until it is known how many it got.
fn price_milli(tokens: u64, team: &Team) -> u64 {
    tokens * team.token_price_milli as u64 / 1000
}

/// Where a stream goes on that another node began.
pub struct Resumed {
    /// The token, checked.
    pub token: ResumeToken,
    /// What the caller has already.
    pub received: Vec<String>,
}

#[derive(serde::Deserialize)]
struct ReceivedBody {
    #[serde(default)]
    croftpond_received: Vec<String>,
}

fn take_resume(
    shared: &Shared,
    call: &Call,
    body: &str,
    hash: &str,
) -> Result<Option<Resumed>, Problem> {
    let Some(text) = &call.resume else {
        return Ok(None);
    };
    let refuse = |message: String| Problem::not_run(Kind::BadResumeToken, message);
    let now = unix_millis() / 1000;
    let token =
        transport::verify_resume_token(&shared.resume_key, text, &call.team.name, hash, now)
            .map_err(|e| refuse(e.to_string()))?;
    let received: ReceivedBody =
        serde_json::from_str(body).map_err(|e| refuse(format!("croftpond_received: {e}")))?;
    let received = received.croftpond_received;
    if received.len() as i64 != token.offset {
        let message = "croftpond_received has not the number of parts that the token says";
        return Err(refuse(message.into()));
    }
    shared.metrics.count(Counter::Resumed);
    Ok(Some(Resumed { token, received }))
}

// Hash of what the caller asked, without what it has received since.
fn original_hash(body: &str) -> String {
    let mut value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    if let Some(object) = value.as_object_mut() {
        object.remove("croftpond_received");
    }
    body_hash(&value.to_string())
}
