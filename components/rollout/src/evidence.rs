//! What endpoints of both versions answered, as sums that gateways add up.

use std::collections::BTreeMap;

/// Buckets of a histogram; a time is in bucket `2 * log2(time / 1 ms)`, so two buckets make a doubling.
pub const BUCKETS: usize = 40;

/// Which version an answer is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version that served so far.
    Old,
    /// The ordered version.
    New,
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It failed or broke off.
    Failed,
    /// It came whole after this many milliseconds, or parts of the time expected for it in thousandths.
    Complete(f64),
}

/// Whole answers by the logarithm of their time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Histogram {
    buckets: BTreeMap<u8, u64>,
}

impl Histogram {
    /// A histogram of counts by bucket.
    pub fn from_buckets(buckets: impl IntoIterator<Item = (u8, u64)>) -> Self {
        let buckets = buckets.into_iter();
        Histogram {
            buckets: buckets.filter(|(_, count)| *count > 0).collect(),
        }
    }

    /// Counts by bucket.
    pub fn buckets(&self) -> impl Iterator<Item = (u8, u64)> + '_ {
        self.buckets.iter().map(|(bucket, count)| (*bucket, *count))
    }

    /// Notes a time.
    pub fn record(&mut self, time: f64) {
        let bucket = (2.0 * time.max(1.0).log2()).min((BUCKETS - 1) as f64) as u8;
        *self.buckets.entry(bucket).or_default() += 1;
    }

    /// Adds another one.
    pub fn add(&mut self, other: &Histogram) {
        for (bucket, count) in other.buckets() {
            *self.buckets.entry(bucket).or_default() += count;
        }
    }

    /// Times noted.
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }

    /// Times in buckets above one.
    pub fn count_above(&self, bucket: u8) -> u64 {
        self.buckets.range(bucket + 1..).map(|(_, n)| n).sum()
    }

    /// The bucket that holds the quantile `part`.
    pub fn quantile(&self, part: f64) -> Option<u8> {
        let wanted = (self.count() as f64 * part).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (bucket, count) in self.buckets() {
            seen += count;
            if seen >= wanted {
                return Some(bucket);
            }
        }
        None
    }
}

/// Answers of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answers that failed.
    pub failed: u64,
    /// Whole ones.
    pub complete: Histogram,
}

impl Counts {
    /// All answers.
    pub fn all(&self) -> u64 {
        self.failed + self.complete.count()
    }

    fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Failed => self.failed += 1,
            Answer::Complete(time) => self.complete.record(time),
        }
    }

    // A sum may shrink when a process that added to it is forgotten.
    fn since(&self, earlier: &Counts) -> Counts {
        let before = |bucket| earlier.complete.buckets.get(&bucket).copied().unwrap_or(0);
        let complete = self.complete.buckets();
        Counts {
            failed: self.failed.saturating_sub(earlier.failed),
            complete: Histogram::from_buckets(
                complete.map(|(bucket, n)| (bucket, n.saturating_sub(before(bucket)))),
            ),
        }
    }

    /// Adds others.
    pub fn add(&mut self, other: &Counts) {
        self.failed += other.failed;
        self.complete.add(&other.complete);
    }
}

/// Answers on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    /// Of the old version.
    pub old: Counts,
    /// Of the new version, by hash of the endpoint.
    pub new: BTreeMap<u64, Counts>,
}

impl RouteEvidence {
    /// Answers of the new version.
    pub fn new_answers(&self) -> u64 {
        self.new.values().map(Counts::all).sum()
    }
}

/// Answers by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Routes by hash of their name.
    pub routes: BTreeMap<u64, RouteEvidence>,
}

impl Evidence {
    /// Notes an answer.
    pub fn record(&mut self, route: u64, side: Side, endpoint: u64, answer: Answer) {
        let route = self.routes.entry(route).or_default();
        match side {
            Side::Old => route.old.record(answer),
            Side::New => route.new.entry(endpoint).or_default().record(answer),
        }
    }

    /// Adds what another gateway noted.
    pub fn add(&mut self, other: &Evidence) {
        for (route, evidence) in &other.routes {
            let sum = self.routes.entry(*route).or_default();
            sum.old.add(&evidence.old);
            for (endpoint, counts) in &evidence.new {
                sum.new.entry(*endpoint).or_default().add(counts);
            }
        }
    }

    /// What was added since an earlier sum.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let mut evidence = self.clone();
        for (hash, route) in &mut evidence.routes {
            let Some(before) = earlier.routes.get(hash) else {
                continue;
            };
            route.old = route.old.since(&before.old);
            for (endpoint, counts) in &mut route.new {
                if let Some(before) = before.new.get(endpoint) {
                    *counts = counts.since(before);
                }
            }
        }
        evidence
    }

    /// Answers of both versions.
    pub fn answers(&self) -> u64 {
        let routes = self.routes.values();
        routes
            .map(|route| route.old.all() + route.new_answers())
            .sum()
    }

    /// Answers of the new version.
    pub fn new_answers(&self) -> u64 {
        self.routes.values().map(RouteEvidence::new_answers).sum()
    }
}
