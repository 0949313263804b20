//! Whether a version answers worse than the one before.
//!
//! On each route two shares of answers are compared between the versions, those that failed and those that are
//! slow. "Worse" is a sequential test (a mixture likelihood ratio against the old version's share, Robbins 1970;
//! see docs/decisions/rollouts.md): it may be asked at any time, and a version as good as the old one is found
//! worse with at most the stated chance in all. "As good" is a likelihood ratio against a stated difference.

use crate::evidence::{Counts, Evidence, RouteEvidence};

/// Chance that one share of one route is found worse though it is not: a good version reverted costs one missed
/// duty, a bad one completed breaks a rule for good.
const MAX_FALSE_POSITIVE_RATE: f64 = 1e-3;
/// Smallest difference of a share that a bad version makes: the pages say "part of their answers".
const MIN_DIFFERENCE: f64 = 0.2;
/// Odds from which a share counts as no worse by that difference.
const MIN_ACCEPTANCE_RATIO: f64 = 8.0;
/// An answer is slow if it takes longer than the old version's 80th percentile by more than a doubling (two
/// buckets): the pages say "several times slower".
const SLOW_QUANTILE: f64 = 0.8;
const SLOW_BUCKET_MARGIN: u8 = 2;
/// Old answers without which a route says nothing: with fewer its own share is not known.
const MIN_OLD_ANSWERS: u64 = 20;
/// Endpoints of the new version from which the worst one is left out: one that is ill is no bad version.
const MIN_ENDPOINTS_FOR_EXCLUSION: usize = 3;
/// Answers of the new version from which it may be found worse while fewer endpoints than that have answered:
/// they may all be of the one that is ill.
const MIN_NEW_ANSWERS: u64 = 12;
/// Parts of a route's share of all answers below which nothing has to be proven on it.
const RARE_ROUTE_SHARE: f64 = 0.02;
/// Steps of the numerical mixture over shares.
const MIXTURE_STEPS: usize = 50;

/// What is found of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It answers worse than the old one.
    Worse,
    /// It is as good, on every route that matters.
    AsGood,
    /// Neither is shown yet.
    Open,
}

/// What was found, and on which evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// What was found.
    pub finding: Finding,
    /// Hash of the route that decides it, if one does: the worse one, or the first that is open.
    pub route: Option<u64>,
    /// Answers of the new version there, and how many of these are bad (failed or slow, whichever share decides);
    /// without the endpoint that has most of the bad ones, if several answer.
    pub new: (u64, u64),
    /// The same of the old version.
    pub old: (u64, u64),
}

/// Judges the new version.
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
    let nothing_new = Judgement {
        finding: match evidence.new_answers() {
            0 => Finding::Open,
            _ => Finding::AsGood,
        },
        route: None,
        new: (evidence.new_answers(), 0),
        old: (evidence.answers() - evidence.new_answers(), 0),
    };
    open.unwrap_or(nothing_new)
}

// Bad answers among all of both versions.
#[derive(Clone, Copy, Debug)]
struct Share {
    old: u64,
    old_bad: u64,
    // Without the endpoint that has most of the bad ones, if several answer.
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
    let of_each: Vec<(u64, u64)> = route.new.values().map(count).collect();
    let answering = of_each.iter().filter(|(all, _)| *all > 0).count();
    let is_worst_excluded = answering >= MIN_ENDPOINTS_FOR_EXCLUSION;
    let worst = of_each.iter().copied().max_by_key(|(_, bad)| *bad);
    let excluded = worst.filter(|_| is_worst_excluded).unwrap_or_default();
    Share {
        old,
        old_bad,
        new: of_each.iter().map(|(all, _)| all).sum::<u64>() - excluded.0,
        new_bad: of_each.iter().map(|(_, bad)| bad).sum::<u64>() - excluded.1,
        is_worst_excluded,
    }
}

impl Share {
    // The old version's share, with what a few answers leave unknown: a little too high rather than too low.
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

// Likelihood of `bad` of `all` under all shares above `expected`, evenly weighed, against `expected` itself.
fn mixture_likelihood_ratio(all: u64, bad: u64, expected: f64) -> f64 {
    let (n, k) = (all as f64, bad as f64);
    let likelihood = |share: f64| k * share.ln() + (n - k) * (1.0 - share).ln();
    let base = likelihood(expected);
    let width = (1.0 - expected) / MIXTURE_STEPS as f64;
    let at = |step: usize| expected + (step as f64 + 0.5) * width;
    let odds = (0..MIXTURE_STEPS).map(|step| (likelihood(at(step)) - base).exp());
    odds.sum::<f64>() / MIXTURE_STEPS as f64
}
