//! Logs and counts reads of the store for operators.

use std::time::Duration;

use slog::info;
use telemetry::Counter;

use crate::control::Shared;
use crate::listing::ReadList;
use crate::ports::{Orders, Store, Topic};

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Logs and counts the read of a whole topic, or of its part for one data hall.
    pub fn record_list(&self, topic: Topic, sent: Duration, list: &ReadList) {
        let took = self.clock.now().saturating_sub(sent);
        self.metrics.add(Counter::StoreRetries, list.retries.into());
        info!(self.log, "topic read from the store"; "topic" => ?topic,
            "rows" => list.rows.rows.len(), "bytes" => list.rows.bytes,
            "revision" => list.rows.revision.number, "era" => self.store.era().newest,
            "repeats" => list.retries, "time_ms" => took.as_millis() as u64);
    }

    /// Counts bytes of rows read from the store.
    pub fn count_bytes(&self, topic: Topic, bytes: usize) {
        let counter = match topic {
            Topic::Configuration => Counter::StoreConfigurationBytes,
            Topic::Endpoints => Counter::StoreEndpointsBytes,
            Topic::Gateways => Counter::StoreGatewaysBytes,
            Topic::Lease
            | Topic::Usage
            | Topic::Rollouts
            | Topic::RolloutStatus
            | Topic::Quarantine => return,
        };
        self.metrics.add(counter, bytes as u64);
    }
}
