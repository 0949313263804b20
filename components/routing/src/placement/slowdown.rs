//! Slowdown of an endpoint: how long work takes there now, relative to the usual time, because its
//! machine is shared with other workloads.
//!
//! An answer reports the slowdown at the time of its header, and the next request arrives later. So
//! a report counts for less the older it is, by how well earlier reports of the same service's
//! endpoints predicted later ones after the same time.

use std::time::Duration;

/// Percentages that are accepted. Work that takes less than a tenth of its usual time or more than
/// fifty times as long indicates an error in the report.
const VALID_PERCENTS: std::ops::RangeInclusive<u32> = 10..=5_000;
/// A report that differs from the expected slowdown by no more than this relative amount changes no
/// choice.
const MIN_NOTABLE_CHANGE: f64 = 0.25;
/// Upper limit of the first lag bucket, in which pairs of reports are counted together. Each
/// further bucket reaches twice as far.
const FIRST_BUCKET_END: Duration = Duration::from_millis(25);
/// Number of lag buckets. Reports older than the last bucket, about three seconds, are worth
/// nothing.
const LAG_BUCKETS: usize = 8;
/// Assumed half-life of a report's worth before pairs of reports were seen.
const PRIOR_HALF_LIFE: Duration = Duration::from_millis(200);
/// Weight of that assumption in each bucket, in pairs with a notable difference.
const PRIOR_PAIRS: f64 = 4.0;
/// Weight of a new report in the mean slowdown of a service.
const SERVICE_MEAN_WEIGHT: f64 = 0.01;
/// The service's mean counts as this many reports beside those of an endpoint, of which at most
/// `MAX_REPORTS` count.
const PRIOR_REPORTS: u32 = 2;
const MAX_REPORTS: u32 = 100;
/// Time constant of the decay of pairs, in further pairs.
const PAIRS_TIME_CONSTANT: f64 = 5_000.0;

/// Time that work takes, as a multiple of the usual time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Work takes as long as usual.
    pub const NONE: Slowdown = Slowdown(1.0);

    /// Creates a slowdown from a percentage; `None` if it is outside the accepted range.
    pub fn from_percent(percent: u32) -> Option<Self> {
        let is_valid = VALID_PERCENTS.contains(&percent);
        is_valid.then(|| Slowdown(f64::from(percent) / 100.0))
    }

    /// Returns the slowdown as a percentage, where 100 is the usual time.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// Returns the slowdown as a multiple of the usual time.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Whether this slowdown differs from `expected` by enough to change a choice.
    pub fn differs_from(self, expected: Slowdown) -> bool {
        (self.0 / expected.0 - 1.0).abs() > MIN_NOTABLE_CHANGE
    }
}

// A slowdown that an endpoint reported.
#[derive(Clone, Copy, Debug)]
struct SlowdownReport {
    slowdown: f64,
    at: Duration,
}

/// Slowdowns that one endpoint reported so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowdownHistory {
    last: SlowdownReport,
    // An earlier report, paired with later ones to cover lags longer than the time between two
    // answers.
    earlier: SlowdownReport,
    // Mean of its reports, since some endpoints are permanently slow.
    mean: f64,
    reports: u32,
}

impl SlowdownHistory {
    /// Time of its latest report.
    pub fn at(&self) -> Duration {
        self.last.at
    }
}

/// Statistics over the reports of one service's endpoints: their mean, and how much a report still
/// says after a given time.
#[derive(Clone, Debug)]
pub(crate) struct SlowdownModel {
    // Moving average over the reports of all endpoints.
    mean: f64,
    buckets: [LagBucket; LAG_BUCKETS],
}

// Sums over pairs of reports of one endpoint within a lag range, as deviations from its mean.
#[derive(Clone, Copy, Debug)]
struct LagBucket {
    sum_of_squares: f64,
    sum_of_products: f64,
}

impl Default for SlowdownModel {
    fn default() -> Self {
        let buckets = std::array::from_fn(|i| {
            let age = FIRST_BUCKET_END.as_secs_f64() * f64::from(1 << i) * 0.75;
            let remaining = (-age / PRIOR_HALF_LIFE.as_secs_f64()).exp2();
            let sum_of_squares = PRIOR_PAIRS * MIN_NOTABLE_CHANGE * MIN_NOTABLE_CHANGE;
            LagBucket {
                sum_of_squares,
                sum_of_products: sum_of_squares * remaining,
            }
        });
        SlowdownModel { mean: 1.0, buckets }
    }
}

impl SlowdownModel {
    /// Records a report of an endpoint and returns its updated history.
    pub fn record(
        &mut self,
        history: Option<SlowdownHistory>,
        at: Duration,
        slowdown: Slowdown,
    ) -> SlowdownHistory {
        let report = SlowdownReport {
            slowdown: slowdown.0,
            at,
        };
        let mut history = history.unwrap_or(SlowdownHistory {
            last: report,
            earlier: report,
            mean: self.mean,
            reports: PRIOR_REPORTS,
        });
        self.record_pair(history.mean, history.last, report);
        match bucket_of(age(history.earlier, at)) {
            Some(_) => self.record_pair(history.mean, history.earlier, report),
            None => history.earlier = report,
        }
        history.last = report;
        history.reports = (history.reports + 1).min(MAX_REPORTS);
        history.mean += (report.slowdown - history.mean) / f64::from(history.reports);
        self.mean += (report.slowdown - self.mean) * SERVICE_MEAN_WEIGHT;
        history
    }

    /// Returns the expected slowdown now of an endpoint with this history.
    pub fn expected(&self, now: Duration, history: Option<SlowdownHistory>) -> Slowdown {
        let Some(history) = history else {
            return Slowdown(self.mean);
        };
        let remaining_share =
            bucket_of(age(history.last, now)).map_or(0.0, |bucket| self.remaining_share(bucket));
        Slowdown(history.mean + (history.last.slowdown - history.mean) * remaining_share)
    }

    /// Returns the expected slowdown relative to the mean of the service's endpoints. Measured
    /// rates and times are relative to this mean, so plans based on them already include slow
    /// periods.
    pub fn relative_slowdown(&self, now: Duration, history: Option<SlowdownHistory>) -> f64 {
        self.expected(now, history).0 / self.mean
    }

    /// Returns the long-term slowdown of an endpoint relative to the mean of the service's
    /// endpoints.
    pub fn long_term_slowdown(&self, history: Option<SlowdownHistory>) -> f64 {
        history.map_or(1.0, |history| history.mean / self.mean)
    }

    fn record_pair(&mut self, mean: f64, earlier: SlowdownReport, later: SlowdownReport) {
        let Some(bucket) = bucket_of(age(earlier, later.at)).filter(|_| earlier.at < later.at)
        else {
            return;
        };
        let first = earlier.slowdown / mean - 1.0;
        let second = later.slowdown / mean - 1.0;
        let bucket = &mut self.buckets[bucket];
        bucket.sum_of_squares += first * first - bucket.sum_of_squares / PAIRS_TIME_CONSTANT;
        bucket.sum_of_products += first * second - bucket.sum_of_products / PAIRS_TIME_CONSTANT;
    }

    // Returns the share of a deviation from the mean that is expected to remain after this lag.
    fn remaining_share(&self, bucket: usize) -> f64 {
        let LagBucket {
            sum_of_squares,
            sum_of_products,
        } = self.buckets[bucket];
        match sum_of_squares > 0.0 {
            true => (sum_of_products / sum_of_squares).clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}

fn age(report: SlowdownReport, now: Duration) -> Duration {
    now.saturating_sub(report.at)
}

// Returns the bucket of a lag; `None` beyond the last one.
fn bucket_of(age: Duration) -> Option<usize> {
    let mut end = FIRST_BUCKET_END;
    for bucket in 0..LAG_BUCKETS {
        if age < end {
            return Some(bucket);
        }
        end *= 2;
    }
    None
}
