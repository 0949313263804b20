//! One entry node: the daemon as a library.
//!
//! A control thread owns the control state; each request has a thread of its own. Traffic threads
//! read the configuration from an immutable snapshot and share the routing and admission state
//! behind one mutex that is held for microseconds.

mod admission;
mod attempt;
mod call;
mod caller;
mod chat;
mod chat_run;
mod configure;
mod control;
mod explain;
mod jobs;
mod moves;
mod node;
mod operator;
mod orders;
mod outcome;
mod output;
mod peers;
mod reply;
mod service;
mod shared;
mod snapshot;
mod status;
mod traffic;

pub use explain::DecisionRecord;
pub use node::{Node, NodeError, Platform};
