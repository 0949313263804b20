//! The life of one request as a pure state machine.
//!
//! `accepted -> attempt n -> done | refused (not run) | failed (may have run)`. Events come in
//! with the time, actions go out; no sockets, threads or clocks. Serves the promises that each
//! caller gets the whole answer once and in order, that "not run" is said only of what was not
//! run, and that a non-repeatable request runs at most once.

mod event;
mod session;

pub use event::{Action, Cause, Event, Failure, Outcome, Reason};
pub use session::{Session, Terms};
