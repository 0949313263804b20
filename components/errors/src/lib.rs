//! Typed errors that are returned to callers and operators, each with a remedy.

mod kind;
mod problem;

pub use kind::{Kind, MaybeRun};
pub use problem::Problem;
