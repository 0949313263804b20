//! Counts of answers by route and version, which can be summed over gateways.

use std::collections::BTreeMap;

/// Number of histogram buckets. A time falls into bucket `2 * log2(time / 1 ms)`, so two buckets are a factor of 2.
pub const BUCKETS: usize = 40;

/// The version that gave an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The version that served before the order.
    Old,
    /// The ordered version.
    New,
}

/// The result of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The answer failed or broke off.
    Failed,
    /// The answer was complete after this many milliseconds, or after this many thousandths of the time expected for
    /// it.
    Complete(f64),
}

/// Complete answers by the logarithm of their time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Histogram {
    buckets: BTreeMap<u8, u64>,
}

impl Histogram {
    /// A histogram with these counts by bucket; zero counts are dropped.
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

    /// Counts a time, in the unit of [`Answer::Complete`].
    pub fn record(&mut self, time: f64) {
        let bucket = (2.0 * time.max(1.0).log2()).min((BUCKETS - 1) as f64) as u8;
        *self.buckets.entry(bucket).or_default() += 1;
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Histogram) {
        for (bucket, count) in other.buckets() {
            *self.buckets.entry(bucket).or_default() += count;
        }
    }

    /// Number of recorded times.
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }

    /// Number of recorded times in buckets above `bucket`.
    pub fn count_above(&self, bucket: u8) -> u64 {
        self.buckets.range(bucket + 1..).map(|(_, n)| n).sum()
    }

    /// The bucket that holds the quantile `part` (0 to 1); `None` if nothing was recorded.
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

/// Answers of one version or of one endpoint on a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answers that failed.
    pub failed: u64,
    /// Complete answers.
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

    // Saturates, because a sum may shrink when a gateway that contributed to it is forgotten.
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

    /// Adds other counts.
    pub fn add(&mut self, other: &Counts) {
        self.failed += other.failed;
        self.complete.add(&other.complete);
    }
}

/// Answers on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    /// Answers of the old version.
    pub old: Counts,
    /// Answers of the new version, by hash of the endpoint.
    pub new: BTreeMap<u64, Counts>,
}

impl RouteEvidence {
    /// Number of answers of the new version.
    pub fn new_answers(&self) -> u64 {
        self.new.values().map(Counts::all).sum()
    }
}

/// Answers by route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Evidence of each route, by hash of the route's name.
    pub routes: BTreeMap<u64, RouteEvidence>,
}

impl Evidence {
    /// Counts an answer. `route` and `endpoint` are hashes.
    pub fn record(&mut self, route: u64, side: Side, endpoint: u64, answer: Answer) {
        let route = self.routes.entry(route).or_default();
        match side {
            Side::Old => route.old.record(answer),
            Side::New => route.new.entry(endpoint).or_default().record(answer),
        }
    }

    /// Adds the evidence of another gateway.
    pub fn add(&mut self, other: &Evidence) {
        for (route, evidence) in &other.routes {
            let sum = self.routes.entry(*route).or_default();
            sum.old.add(&evidence.old);
            for (endpoint, counts) in &evidence.new {
                sum.new.entry(*endpoint).or_default().add(counts);
            }
        }
    }

    /// The answers added since an earlier snapshot.
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

    /// Number of answers of both versions.
    pub fn answers(&self) -> u64 {
        let routes = self.routes.values();
        routes
            .map(|route| route.old.all() + route.new_answers())
            .sum()
    }

    /// Number of answers of the new version.
    pub fn new_answers(&self) -> u64 {
        self.routes.values().map(RouteEvidence::new_answers).sum()
    }
}
