//! The pace of tokens that streams allow: by their pauses' aims and their routes' time-outs.

/// Buckets of a pace; one is half a power of two, the first one begins at [`FIRST_MS`].
const BUCKET_COUNT: usize = 20;
/// Shortest pace that is distinguished, in milliseconds a token.
const MIN_PACE_MS: f64 = 0.5;
/// Buckets for each doubling.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// How many streams allow which time for each of their tokens. Counts of several gateways are added.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceHistogram {
    counts: [f64; BUCKET_COUNT],
}

impl PaceHistogram {
    /// Notes a stream that allows so many milliseconds a token.
    pub fn add(&mut self, pace_ms: f64) {
        let doublings = (pace_ms.max(MIN_PACE_MS) / MIN_PACE_MS).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1.0;
    }

    /// Adds what another gateway saw.
    pub fn merge(&mut self, other: &PaceHistogram) {
        for (count, others) in self.counts.iter_mut().zip(other.counts) {
            *count += others;
        }
    }

    /// Lets everything so far count for `part` of what it did.
    pub fn decay(&mut self, factor: f64) {
        self.counts.iter_mut().for_each(|count| *count *= factor);
    }

    /// Pace at which `share` of the streams still hold, in milliseconds a token; `None` if none was seen.
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
        // The tight end of the bucket: those in it allow at least this.
        let bucket = bucket.unwrap_or(BUCKET_COUNT - 1) as f64;
        Some(MIN_PACE_MS * (bucket / BUCKETS_PER_DOUBLING).exp2())
    }

    /// Counts by bucket.
    pub fn counts(&self) -> &[f64] {
        &self.counts
    }

    /// Counts as another gateway reported them.
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
