//! JSON bodies of the caller and endpoint protocols, described in docs/interfaces.md.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A chat completion request of a language-model client; unknown keys are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model to use.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// Body of `POST /generate` of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateBody {
    /// Id of the request, the same for all its attempts.
    pub request: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Model to use.
    pub model: String,
    /// Text of the conversation.
    pub prompt: Vec<String>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Priority class; 0 is the most urgent.
    pub priority: i32,
    /// Tokens that the caller already has; generation continues after them.
    pub received: Vec<String>,
    /// Offset of the first token to send.
    pub from: u64,
    /// Stream of this engine to resume, if the engine still retains it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<String>,
    /// Address to import the KV cache from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_address: Option<String>,
    /// Stream whose KV cache to import.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_stream: Option<String>,
}

/// One line of the answer to `POST /generate`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkLine {
    /// The request started; this is the id of its stream.
    Stream(String),
    /// One token.
    Token {
        /// Its offset in the answer.
        offset: u64,
        /// Its text.
        text: String,
    },
    /// The answer is complete and has this many tokens.
    End(u64),
}

/// Body of a refusal of `POST /generate`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// `false` guarantees that nothing was started.
    pub started: bool,
}

/// Body of `GET /load` of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Requests running.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Number of VMs that have had the endpoint's name.
    pub incarnation: i64,
    /// Milliseconds until the VM is reclaimed; set once it has a reclaim notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_in_ms: Option<u64>,
}

/// One change of an engine's prefix cache, from `GET /cache-events?after=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CacheEventBody {
    /// Sequence number; the engine numbers its events without gaps.
    pub sequence: u64,
    /// Hashes of blocks that were stored.
    pub stored: Vec<u64>,
    /// Hashes of blocks that were evicted.
    pub evicted: Vec<u64>,
    /// Whether the whole cache was cleared.
    pub cleared: bool,
}

/// Body of `POST /orders` of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing token: endpoints that check it refuse an epoch below the highest they have seen.
    pub epoch: i64,
    /// Model to serve.
    pub model: String,
}
