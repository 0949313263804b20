//! When to stop and begin again taking connections.

use crate::budget::Budget;

/// Part of the budget from which on no connection is taken: more than half of the part for the shares is used, and what is
/// open still finds its share in the rest. Slow callers alone fill the common part, which is 0.7, and don't reach it.
const PAUSE_PART: f64 = 0.88;
/// Part of the budget below which connections are taken again; apart from the one above, so that readiness does not flap.
const RESUME_PART: f64 = 0.78;

/// A change of what is done with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptChange {
    /// None are taken from now on.
    Paused,
    /// They are taken again.
    Resumed,
}

/// Whether new connections are taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptGate {
    paused: bool,
}

impl AcceptGate {
    /// Whether none are taken.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Looks at what is held.
    pub fn update(&mut self, held: u64, budget: Budget) -> Option<AcceptChange> {
        let max_bytes = budget
            .max_bytes
            .map_or(f64::INFINITY, |max_bytes| max_bytes as f64);
        let held = held as f64;
        match self.paused {
            false if held >= max_bytes * PAUSE_PART => {
                self.paused = true;
                Some(AcceptChange::Paused)
            }
            true if held < max_bytes * RESUME_PART => {
                self.paused = false;
                Some(AcceptChange::Resumed)
            }
            _ => None,
        }
    }
}
