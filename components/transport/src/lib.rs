//! Network transport: HTTP to callers and endpoints, UDP datagrams and TCP frames between nodes, and
//! the authentication of datagrams, node requests and resume tokens.

mod answer;
mod auth;
mod blocking;
mod connection;
mod engine;
mod fetch;
mod head_lines;
mod listener;
mod peer;
mod resume;
mod service;
mod tcp;
mod tunnel;
mod wire;

pub use answer::{begins_with_chunk, begins_with_chunk_length, Answer, AnswerFault, BodyEnd};
pub use auth::{sign, verify, Key, TAG_BYTES};
pub use blocking::{call, CallError, CallLimits, WholeAnswer};
pub use connection::{Connection, ConnectionError, FullBody, WatchedConnection};
pub use engine::{
    AttemptEnd, Engine, EngineError, GenerateRequest, GenerationEvent, HttpEngine, LoadReport,
};
pub use fetch::{bind_config_listener, fetch_config_body, serve_config_body};
pub use listener::{bind_http, read_body, BodyError, SocketTimeouts};
pub use peer::{open_packet, seal_packet, PacketError, ReplayGuard, MAX_DATAGRAM_BYTES};
pub use resume::{issue_resume_token, verify_resume_token, ResumeError};
pub use service::{call_service, ServiceCall, ServiceReply};
pub use tcp::{Dialer, SharedStream, Target, TcpStatus, WeakStream};
pub use tunnel::{
    open_tunnel, pass_bytes, CountedAt, TunnelBytes, TunnelError, TUNNEL_BUFFER_BYTES,
};
pub use wire::{
    CacheEventBody, ChatMessage, ChatRequest, ChunkLine, GenerateBody, LoadBody, OrderBody, Refusal,
};
