//! Detects restores of the store from changes of its era.

use slog::{info, warn};
use telemetry::Counter;

use crate::control::Shared;
use crate::ports::{Orders, Store};

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Logs changes of the store's era and counts restores.
    pub fn check_store_era(&self) {
        let current = self.store.era();
        let previous = std::mem::replace(&mut self.known.borrow_mut().store_era, current);
        if current.unreadable_answers > previous.unreadable_answers
            && previous.unreadable_answers == 0
        {
            warn!(self.log, "era of the store not readable; the last known era is kept";
                "era" => previous.newest);
        }
        if current.newest == previous.newest {
            return;
        }
        match previous.newest {
            Some(previous_era) => {
                self.metrics.count(Counter::StoreRestored);
                warn!(self.log, "store restored from an older copy";
                    "era" => current.newest, "previous_era" => previous_era);
            }
            None => info!(self.log, "era read from the store"; "era" => current.newest),
        }
    }
}
