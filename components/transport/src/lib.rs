//! Sockets: callers and endpoints over HTTP, other nodes over UDP, and the signing of both.

mod auth;
mod connection;
mod engine;
mod fetch;
mod listener;
mod peer;
mod resume;
mod service;
mod wire;

pub use auth::{sign, verify, Key, TAG_BYTES};
pub use connection::{Connection, ConnectionError, FullBody};
pub use engine::{
    is_answer, AttemptEnd, Engine, EngineError, Generate, HttpEngine, LoadReport, Piece,
};
pub use fetch::{answer_body, bind_bodies, fetch_body};
pub use listener::{bind_http, read_body, BodyError, Bounds};
pub use peer::{open_packet, seal_packet, PacketError, ReplayGuard, MAX_DATAGRAM};
pub use resume::{issue, redeem, ResumeError};
pub use service::{call_service, ServiceCall, ServiceReply};
pub use wire::{
    CacheEventBody, ChatMessage, ChatRequest, ChunkLine, GenerateBody, LoadBody, OrderBody, Refusal,
};
