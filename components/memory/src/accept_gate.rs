//! When to stop and begin again taking connections.

use crate::budget::Budget;

/// Part of the budget from which on no connection is taken: more than half of the part for the shares is used, and what is
/// open still finds its share in the rest. Slow callers alone fill the common part, which is 0.7, and don't reach it.
const STOP_PART: f64 = 0.88;
/// Part of the budget below which connections are taken again; apart from the one above, so that readiness does not flap.
const BEGIN_PART: f64 = 0.78;

/// A change of what is done with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// None are taken from now on.
    Paused,
    /// They are taken again.
    Resumed,
}

/// Whether new connections are taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseGate {
    paused: bool,
}

impl PauseGate {
    /// Whether none are taken.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Looks at what is held.
    pub fn look(&mut self, held: u64, budget: Budget) -> Option<Turn> {
        let most = budget.most.map_or(f64::INFINITY, |most| most as f64);
        let held = held as f64;
        match self.paused {
            false if held >= most * STOP_PART => {
                self.paused = true;
                Some(Turn::Paused)
            }
            true if held < most * BEGIN_PART => {
                self.paused = false;
                Some(Turn::Resumed)
            }
            _ => None,
        }
    }
}
