//! A request of a trace: its prompt, its session and what its caller has seen.

use std::time::Duration;

use routing::{Prompt, BLOCK_BYTES, BYTES_PER_TOKEN};
use session::{Outcome, Session, Terms};
use xxhash_rust::xxh3::xxh3_64;

use crate::trace::RequestLine;

/// Tokens of a block.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u32;
const MAX_ATTEMPTS: u32 = 4;

/// One request under way.
pub struct Request {
    /// What the trace says of it.
    pub line: RequestLine,
    /// Number of the node that it came to.
    pub node: usize,
    /// Its prompt as routing sees it.
    pub prompt: Prompt,
    /// Its session.
    pub session: Session<u64>,
    /// When the caller had its first part.
    pub first_at: Option<Duration>,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// Whether it was let in.
    pub accepted: bool,
    /// Parts that its caller has.
    pub parts: u64,
    /// Parts that came wrongly.
    pub wrong_parts: u64,
    /// Attempts that began at an endpoint.
    pub started: u32,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Its live attempts: number and stream.
    pub live: Vec<(u32, usize)>,
    /// Endpoints that failed it.
    pub excluded: Vec<String>,
}

impl Request {
    /// A request that has just arrived.
    pub fn new(line: RequestLine, node: usize, jitter_milli: u32) -> Self {
        let arrived = Duration::from_millis(line.at);
        let terms = Terms {
            repeatable: line.repeatable,
            deadline: arrived + Duration::from_millis(line.deadline_ms),
            max_attempts: MAX_ATTEMPTS,
            jitter_milli,
            from: 0,
        };
        Request {
            prompt: prompt(&line),
            session: Session::new(terms),
            node,
            line,
            first_at: None,
            outcome: None,
            accepted: false,
            parts: 0,
            wrong_parts: 0,
            started: 0,
            attempts: 0,
            live: Vec::new(),
            excluded: Vec::new(),
        }
    }

    /// Whether it is a plain service call.
    pub fn is_service(&self) -> bool {
        self.line.pool == "service"
    }

    /// When it arrived.
    pub fn arrived(&self) -> Duration {
        Duration::from_millis(self.line.at)
    }

    /// When it must be over.
    pub fn deadline(&self) -> Duration {
        self.arrived() + Duration::from_millis(self.line.deadline_ms)
    }

    /// Its target.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.line.target_ms)
    }

    /// Blocks of prompt and answer together, up to this many tokens of the answer.
    pub fn blocks_with(&self, answer_tokens: u64) -> Vec<u64> {
        blocks(&self.line, self.line.prompt_tokens + answer_tokens as u32)
    }
}

fn prompt(line: &RequestLine) -> Prompt {
    Prompt {
        blocks: blocks(line, line.prompt_tokens),
        tokens: line.prompt_tokens,
        home: xxh3_64(&line.conversation.to_le_bytes()),
        earlier_tokens: line.earlier_tokens,
    }
}

// Whole blocks of the system prompt are shared by all conversations that open with it.
fn blocks(line: &RequestLine, tokens: u32) -> Vec<u64> {
    let shared = line.system_tokens / BLOCK_TOKENS;
    let block = |i: u32| {
        let owner = if i < shared {
            line.system
        } else {
            line.conversation ^ (1 << 63)
        };
        let mut key = owner.to_le_bytes().to_vec();
        key.extend(i.to_le_bytes());
        xxh3_64(&key)
    };
    (0..tokens / BLOCK_TOKENS).map(block).collect()
}
