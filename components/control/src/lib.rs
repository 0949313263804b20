//! The control state of one node: cell, configuration, lease and quotas, as one pure machine.
//!
//! The control thread feeds it events with the time and carries out its actions; a test or
//! another bench can do the same without sockets or threads.

mod core;
mod event;
mod gate;
mod shares;

pub use self::core::{Core, CoreStatus, CoreTerms};
pub use event::{Action, CallId, Event};
pub use gate::{Admitted, PlatformGate, CLAIM_PAUSE, CONTROL_PAUSE};
pub use shares::TeamLimit;
