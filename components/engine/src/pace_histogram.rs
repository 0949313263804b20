//! Histogram of the paces that streams allow. A pace is a time per generated token. A stream's
//! limit follows from the target pause between its events and the time-out of its route.

/// Number of buckets. Each spans half a power of two; the first begins at [`MIN_PACE_MS`].
const BUCKET_COUNT: usize = 20;
/// Shortest pace that the histogram distinguishes, in milliseconds per token.
const MIN_PACE_MS: f64 = 0.5;
/// Buckets per doubling of the pace.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Number of streams by the longest time per token that they allow. Histograms of several gateways
/// are merged by adding them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceHistogram {
    counts: [f64; BUCKET_COUNT],
}

impl PaceHistogram {
    /// Counts a stream that allows at most `pace_ms` milliseconds per token.
    pub fn add(&mut self, pace_ms: f64) {
        let doublings = (pace_ms.max(MIN_PACE_MS) / MIN_PACE_MS).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1.0;
    }

    /// Adds the counts of another gateway.
    pub fn merge(&mut self, other: &PaceHistogram) {
        for (count, others) in self.counts.iter_mut().zip(other.counts) {
            *count += others;
        }
    }

    /// Multiplies all counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.counts.iter_mut().for_each(|count| *count *= factor);
    }

    /// Longest pace that is within the limits of `share` of the streams, in milliseconds per token;
    /// `None` without streams.
    pub fn max_pace_ms(&self, share: f64) -> Option<f64> {
        let total: f64 = self.counts.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let mut stricter = 0.0;
        let bucket = self.counts.iter().position(|count| {
            stricter += count;
            stricter > total * (1.0 - share)
        });
        // Take the lower bound of the bucket: its streams allow at least this pace.
        let bucket = bucket.unwrap_or(BUCKET_COUNT - 1) as f64;
        Some(MIN_PACE_MS * (bucket / BUCKETS_PER_DOUBLING).exp2())
    }

    /// Counts by bucket.
    pub fn counts(&self) -> &[f64] {
        &self.counts
    }

    /// Restores a histogram from the counts that another gateway reported.
    pub fn from_counts(counts: &[f64]) -> Self {
        let mut histogram = PaceHistogram::default();
        for (count, reported) in histogram.counts.iter_mut().zip(counts) {
            *count = if reported.is_finite() {
                reported.max(0.0)
            } else {
                0.0
            };
        }
        histogram
    }
}
