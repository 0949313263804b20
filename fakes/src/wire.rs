//! A queue of messages with loss, delay, doubling and cuts.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

/// Longest delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 40;

/// Messages under way between numbered nodes.
#[derive(Debug)]
pub struct Wire<T> {
    /// Share of the messages that is lost.
    pub loss: f64,
    /// Nodes of different groups do not hear each other; a node without a group is in group 0.
    pub groups: BTreeMap<usize, u32>,
    /// Messages sent so far.
    pub sent: u64,
    queue: Vec<(Duration, usize, usize, T)>,
}

impl<T: Clone> Default for Wire<T> {
    fn default() -> Self {
        Wire {
            loss: 0.0,
            groups: BTreeMap::new(),
            sent: 0,
            queue: Vec::new(),
        }
    }
}

impl<T: Clone> Wire<T> {
    /// Sends a message, which may come late, twice or never.
    pub fn send(&mut self, now: Duration, from: usize, to: usize, what: T, rng: &mut impl Rng) {
        self.sent += 1;
        let group = |n: usize| self.groups.get(&n).copied().unwrap_or(0);
        if group(from) != group(to) || rng.random_bool(self.loss) {
            return;
        }
        let doubled = self.loss > 0.0 && rng.random_ratio(1, 20);
        for _ in 0..1 + usize::from(doubled) {
            let delay = Duration::from_millis(rng.random_range(1..MAX_DELAY_MS));
            self.queue.push((now + delay, from, to, what.clone()));
        }
    }

    /// The messages that have come by `now`, as `(from, to, message)`.
    pub fn due(&mut self, now: Duration) -> Vec<(usize, usize, T)> {
        let queue = std::mem::take(&mut self.queue);
        let (due, later): (Vec<_>, Vec<_>) = queue.into_iter().partition(|(at, ..)| *at <= now);
        self.queue = later;
        due.into_iter()
            .map(|(_, from, to, what)| (from, to, what))
            .collect()
    }
}
