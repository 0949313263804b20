//! Pauses and resumes accepting connections by memory use.

use crate::budget::Budget;

/// Part of the budget at which accepting pauses. More than half of the share pool is used then, and open connections still
/// find their share in the rest. Slow callers alone fill the common pool, which is 0.7 of the budget, and don't reach it.
const PAUSE_PART: f64 = 0.88;
/// Part of the budget below which accepting resumes; lower than `PAUSE_PART`, so that readiness does not flap.
const RESUME_PART: f64 = 0.78;

/// A change in accepting connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptChange {
    /// Connections are no longer accepted.
    Paused,
    /// Connections are accepted again.
    Resumed,
}

/// Decides whether new connections are accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptGate {
    paused: bool,
}

impl AcceptGate {
    /// Whether accepting is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Updates the gate for `held` bytes. Returns the change, if any.
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
