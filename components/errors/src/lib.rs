//! Typed errors shown to callers and operators; each names its remedy.

mod kind;
mod problem;

pub use kind::{Kind, MaybeRun};
pub use problem::Problem;
