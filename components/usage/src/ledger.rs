//! Request counts by window, gateway process and tenant.

use std::collections::BTreeMap;

/// Number of requests by tenant.
pub type Counts = BTreeMap<String, i64>;

/// One process of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Source {
    /// Name of the gateway.
    pub gateway: String,
    /// Start of its process, as wall-clock time in milliseconds.
    pub incarnation: i64,
}

/// Counts of this gateway, and those that other gateways reported.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<i64, BTreeMap<Source, Counts>>,
}

impl UsageLedger {
    /// Counts one request of a tenant.
    pub fn count(&mut self, window: i64, source: &Source, tenant: &str) {
        let counts = self.counts(window, source);
        *counts.entry(tenant.to_string()).or_default() += 1;
    }

    /// Merges the totals that a gateway reported. Within a process they only grow, so the larger one is kept.
    pub fn merge(&mut self, window: i64, source: &Source, reported: &Counts) {
        let counts = self.counts(window, source);
        for (tenant, count) in reported {
            let known = counts.entry(tenant.clone()).or_default();
            *known = (*known).max(*count);
        }
    }

    /// What one process counted in a window.
    pub fn counts_of(&self, window: i64, source: &Source) -> Counts {
        let sources = self.windows.get(&window);
        sources
            .and_then(|s| s.get(source))
            .cloned()
            .unwrap_or_default()
    }

    /// Counts of all processes in a window.
    pub fn sources(&self, window: i64) -> impl Iterator<Item = (&Source, &Counts)> {
        self.windows.get(&window).into_iter().flatten()
    }

    /// Sum over all processes.
    pub fn total(&self, window: i64) -> Counts {
        let mut total = Counts::new();
        for counts in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(|s| s.values())
        {
            for (tenant, count) in counts {
                *total.entry(tenant.clone()).or_default() += count;
            }
        }
        total
    }

    /// Drops the windows before this one.
    pub fn forget_before(&mut self, window: i64) {
        self.windows = self.windows.split_off(&window);
    }

    fn counts(&mut self, window: i64, source: &Source) -> &mut Counts {
        let sources = self.windows.entry(window).or_default();
        sources.entry(source.clone()).or_default()
    }
}
