//! JSON bodies of callers and endpoints; docs/interfaces.md describes them.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A chat completion request, as language-model clients send it; unknown keys are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model to use.
    pub model: String,
    /// The conversation, the oldest message first.
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
    /// 0 for the most urgent class.
    pub priority: i32,
    /// Tokens the caller has already; generation continues after them.
    pub received: Vec<String>,
    /// Offset of the first token to send.
    pub from: u64,
    /// Stream of this engine to continue, if it is still kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<String>,
    /// Where to import the KV cache from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_address: Option<String>,
    /// Stream whose KV cache is imported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_stream: Option<String>,
}

/// One line of the answer to `POST /generate`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkLine {
    /// The request started as this stream.
    Stream(String),
    /// One token.
    Token {
        /// Its offset in the answer.
        offset: u64,
        /// Its text.
        text: String,
    },
    /// The answer has this many tokens.
    End(u64),
}

/// Body of a refusal of `POST /generate`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// `false` proves that nothing was started.
    pub started: bool,
}

/// Body of `GET /load` of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Counts the VMs that have borne the endpoint's name.
    pub incarnation: i64,
    /// Set once the VM has a reclaim notice: milliseconds left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_in_ms: Option<u64>,
}

/// One change of an engine's prefix cache, from `GET /cache-events?after=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CacheEventBody {
    /// Counter of the engine, without holes at the source.
    pub sequence: u64,
    /// Hashes of blocks that were stored.
    pub stored: Vec<u64>,
    /// Hashes of blocks that were evicted.
    pub evicted: Vec<u64>,
    /// Whether everything was dropped.
    pub cleared: bool,
}

/// Body of `POST /orders` of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fence: endpoints that check it refuse a lower one than the highest seen.
    pub epoch: i64,
    /// Model that the endpoint should serve.
    pub model: String,
}
