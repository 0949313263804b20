//! Detects restores of the store from changes of its era.

use std::rc::Rc;

use slog::{info, warn};
use telemetry::Counter;

use crate::control::{ControlState, Shared};
use crate::ports::{Orders, Store};

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Logs changes of the store's era, counts restores, and rewrites this gateway's row after each of them.
    pub fn check_store_era(self: &Rc<Self>) {
        let current = self.store.era();
        let previous = std::mem::replace(&mut self.state.borrow_mut().store_era, current);
        if current.unreadable_answers > previous.unreadable_answers
            && previous.unreadable_answers == 0
        {
            warn!(self.log, "era of the store not readable; the last known era is kept";
                "era" => previous.newest);
        }
        let mut state = self.state.borrow_mut();
        let era = state.find_newest_era();
        if era <= state.newest_era {
            return;
        }
        let previous_era = std::mem::replace(&mut state.newest_era, era);
        state.newest_era_seen_at = self.clock.wall_time();
        match previous_era {
            Some(previous_era) => {
                self.metrics.count(Counter::StoreRestored);
                warn!(self.log, "store restored from an older copy"; "era" => era, "previous_era" => previous_era);
                state.rollouts.discard_executions();
                tokio::task::spawn_local(Rc::clone(self).rewrite_own_row());
            }
            None => info!(self.log, "era read from the store"; "era" => era),
        }
    }
}

impl ControlState {
    // Highest era in the store's answers and in rows received from other gateways.
    fn find_newest_era(&self) -> Option<u64> {
        let topics = self.followed.values();
        let revisions = topics.filter_map(|followed| followed.table.known_to());
        let era_of_rows = revisions.map(|known_to| known_to.era).max();
        self.store_era.newest.max(era_of_rows)
    }
}
