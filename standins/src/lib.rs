//! Small stand-ins for engine, application and platform, for quickstart, tests and benchmarks.
//!
//! They speak the protocols of docs/interfaces.md, are seeded, and can be made slow, held, down or
//! forgetful of answers. They are no part of a deployment.

mod application;
mod engine;
mod fleet;
mod platform_service;
mod server;

pub use application::{Application, ApplicationOptions};
pub use engine::{answer_token, EngineOptions, ModelEngine};
pub use fleet::{
    chat_body, event_text, Events, Fleet, FleetOptions, CREDENTIAL, DRAFTS_CREDENTIAL, KEY,
};
pub use platform_service::{Faults, PlatformService};
pub use server::Standin;
