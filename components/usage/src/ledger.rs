//! Counts by window, process and tenant.

use std::collections::BTreeMap;

/// Requests by tenant.
pub type Counts = BTreeMap<String, i64>;

/// One process of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Source {
    /// Name of the gateway.
    pub gateway: String,
    /// Start of its process.
    pub incarnation: i64,
}

/// Everything counted here and heard of others.
#[derive(Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<i64, BTreeMap<Source, Counts>>,
}

impl UsageLedger {
    /// Counts one request.
    pub fn count(&mut self, window: i64, source: &Source, tenant: &str) {
        let counts = self.counts(window, source);
        *counts.entry(tenant.to_string()).or_default() += 1;
    }

    /// Takes the totals that a gateway reported; totals only grow within a process.
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

    /// The sum over all processes.
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

    /// Drops the windows before one.
    pub fn forget_before(&mut self, window: i64) {
        self.windows = self.windows.split_off(&window);
    }

    fn counts(&mut self, window: i64, source: &Source) -> &mut Counts {
        let sources = self.windows.entry(window).or_default();
        sources.entry(source.clone()).or_default()
    }
}
