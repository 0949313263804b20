//! Tests whether the new version answers worse than the old one.
//!
//! On each route, two shares of answers are compared between the versions: failed answers and slow answers. "Worse"
//! is a sequential test (a mixture likelihood ratio against the old version's share, Robbins 1970; see
//! docs/decisions/rollouts.md). It can be evaluated at any time: if a share is not worse, the probability that it is
//! ever found worse is at most `MAX_FALSE_POSITIVE_RATE`. "As good" is a likelihood ratio against a
//! share that is higher by `MIN_DIFFERENCE`.

use crate::evidence::{Counts, Evidence, RouteEvidence};

/// Probability of finding one share of one route worse although it is not. Reverting a good version costs one
/// missed duty; completing a bad one violates a guarantee for good.
const MAX_FALSE_POSITIVE_RATE: f64 = 1e-3;
/// Smallest increase of a share that a bad version is assumed to cause: the specification says "part of their
/// answers".
const MIN_DIFFERENCE: f64 = 0.2;
/// Likelihood ratio above which a share counts as not increased by `MIN_DIFFERENCE`.
const MIN_ACCEPTANCE_RATIO: f64 = 8.0;
/// An answer is slow if it takes more than twice as long (two buckets) as the old version's 80th percentile: the
/// specification says "several times slower".
const SLOW_QUANTILE: f64 = 0.8;
const SLOW_BUCKET_MARGIN: u8 = 2;
/// Answers of the old version that a route needs to be judged; with fewer, the old version's share is not known.
const MIN_OLD_ANSWERS: u64 = 20;
/// Answering endpoints of the new version from which the worst one is excluded: a single faulty endpoint does not
/// make a version bad.
const MIN_ENDPOINTS_FOR_EXCLUSION: usize = 3;
/// Answers of the new version needed to find it worse while too few endpoints have answered to exclude one: all
/// these answers may come from a single faulty endpoint.
const MIN_NEW_ANSWERS: u64 = 12;
/// Part of all answers below which a route need not be found as good.
const RARE_ROUTE_SHARE: f64 = 0.02;
/// Steps of the numerical integration over shares.
const MIXTURE_STEPS: usize = 50;

/// Result of comparing the new version with the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The new version answers worse.
    Worse,
    /// The new version is as good on every route that is not rare.
    AsGood,
    /// The evidence shows neither yet.
    Open,
}

/// A finding and the evidence for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// The finding.
    pub finding: Finding,
    /// Hash of the route that determines the finding: the worse route, or the first open one; `None` if no route does.
    pub route: Option<u64>,
    /// Answers of the new version on that route, and how many of them are bad (failed or slow, whichever share
    /// determines the finding). Excludes the endpoint with the most bad answers if enough endpoints answer.
    pub new: (u64, u64),
    /// The same for the old version, without exclusion.
    pub old: (u64, u64),
}

/// Compares the new version with the old one.
pub fn judge(evidence: &Evidence) -> Judgement {
    let all = evidence.answers() as f64;
    let mut open = None;
    for (hash, route) in &evidence.routes {
        for share in shares(route) {
            let judgement = |finding| Judgement {
                finding,
                route: Some(*hash),
                new: (share.new, share.new_bad),
                old: (share.old, share.old_bad),
            };
            if share.is_worse() {
                return judgement(Finding::Worse);
            }
            let is_rare = (route.old.all() as f64) < all * RARE_ROUTE_SHARE;
            if !is_rare && !share.is_as_good() {
                open.get_or_insert(judgement(Finding::Open));
            }
        }
    }
    let overall = Judgement {
        finding: match evidence.new_answers() {
            0 => Finding::Open,
            _ => Finding::AsGood,
        },
        route: None,
        new: (evidence.new_answers(), 0),
        old: (evidence.answers() - evidence.new_answers(), 0),
    };
    open.unwrap_or(overall)
}

// Bad and total answers of both versions.
#[derive(Clone, Copy, Debug)]
struct Share {
    old: u64,
    old_bad: u64,
    // Excludes the endpoint with the most bad answers if enough endpoints answer.
    new: u64,
    new_bad: u64,
    is_worst_excluded: bool,
}

// The shares of failed and of slow answers.
fn shares(route: &RouteEvidence) -> [Share; 2] {
    let failed = |counts: &Counts| (counts.all(), counts.failed);
    let limit = route.old.complete.quantile(SLOW_QUANTILE);
    let limit = limit.map_or(u8::MAX - 1, |bucket| bucket + SLOW_BUCKET_MARGIN);
    let slow = |counts: &Counts| (counts.complete.count(), counts.complete.count_above(limit));
    [share_of(route, failed), share_of(route, slow)]
}

fn share_of(route: &RouteEvidence, count: impl Fn(&Counts) -> (u64, u64)) -> Share {
    let (old, old_bad) = count(&route.old);
    let by_endpoint: Vec<(u64, u64)> = route.new.values().map(count).collect();
    let answering = by_endpoint.iter().filter(|(all, _)| *all > 0).count();
    let is_worst_excluded = answering >= MIN_ENDPOINTS_FOR_EXCLUSION;
    let worst = by_endpoint.iter().copied().max_by_key(|(_, bad)| *bad);
    let excluded = worst.filter(|_| is_worst_excluded).unwrap_or_default();
    Share {
        old,
        old_bad,
        new: by_endpoint.iter().map(|(all, _)| all).sum::<u64>() - excluded.0,
        new_bad: by_endpoint.iter().map(|(_, bad)| bad).sum::<u64>() - excluded.1,
        is_worst_excluded,
    }
}

impl Share {
    // The old version's smoothed share plus one standard error, since an estimate that is too low would revert good versions.
    fn expected(&self) -> f64 {
        let n = self.old as f64;
        let share = (self.old_bad as f64 + 1.0) / (n + 2.0);
        share + (share * (1.0 - share) / (n + 2.0)).sqrt()
    }

    fn is_worse(&self) -> bool {
        let has_enough_new = self.is_worst_excluded || self.new >= MIN_NEW_ANSWERS;
        if self.old < MIN_OLD_ANSWERS || !has_enough_new {
            return false;
        }
        let expected = self.expected().min(0.99);
        if self.new_bad as f64 <= expected * self.new as f64 {
            return false;
        }
        mixture_likelihood_ratio(self.new, self.new_bad, expected) > 1.0 / MAX_FALSE_POSITIVE_RATE
    }

    fn is_as_good(&self) -> bool {
        if self.old < MIN_OLD_ANSWERS {
            return false;
        }
        let same = self.expected().min(0.79);
        let bad = same + MIN_DIFFERENCE;
        let (n, k) = (self.new as f64, self.new_bad as f64);
        let odds = k * (same / bad).ln() + (n - k) * ((1.0 - same) / (1.0 - bad)).ln();
        odds > MIN_ACCEPTANCE_RATIO.ln()
    }
}

// Likelihood ratio of `bad` out of `all`: shares above `expected` with a uniform prior, against `expected` itself.
fn mixture_likelihood_ratio(all: u64, bad: u64, expected: f64) -> f64 {
    let (n, k) = (all as f64, bad as f64);
    let likelihood = |share: f64| k * share.ln() + (n - k) * (1.0 - share).ln();
    let base = likelihood(expected);
    let width = (1.0 - expected) / MIXTURE_STEPS as f64;
    let at = |step: usize| expected + (step as f64 + 0.5) * width;
    let odds = (0..MIXTURE_STEPS).map(|step| (likelihood(at(step)) - base).exp());
    odds.sum::<f64>() / MIXTURE_STEPS as f64
}
