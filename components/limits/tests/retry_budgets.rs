//! Retries of all gateways of a service, counted at the endpoints as the budget promises it: in every window, the retries
//! of all processes stay within a ratio of the callers' requests and a fixed allowance.

use std::time::Duration;

use limits::{EqualShare, RetryBudget, RetryTerms};
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a step of the model.
const STEP_MS: u64 = 10;
/// Time between the end of a process and the start of its successor.
const RESTART_MS: u64 = 500;
/// Time after its start at which a process has counted the gateways.
const COUNTED_AFTER_MS: u64 = 100;
const WINDOW_MS: u64 = 10_000;

/// A time span in milliseconds, from the first to before the second.
type Span = (u64, u64);

/// What happens to a fleet of gateways that serves one service.
struct Scenario {
    seed: u64,
    gateways: usize,
    requests_per_s: f64,
    terms: RetryTerms,
    length_ms: u64,
    /// Spans in which each request fails and is tried again as long as retries are granted, `tries` times.
    failures: Vec<Span>,
    tries: u32,
    /// Spans in which the load is multiplied by `crowd`.
    crowds: Vec<Span>,
    crowd: f64,
    /// Kills, and the share of the gateways that each one strikes.
    kills: Vec<(u64, f64)>,
    /// Spans in which each gateway counts only itself.
    unheard: Vec<Span>,
    /// Spans in which retries are held up on their way; they arrive together at the end.
    held_up: Vec<Span>,
}

impl Scenario {
    /// A fleet without failures.
    fn quiet(seed: u64) -> Self {
        Scenario {
            seed,
            gateways: 7,
            requests_per_s: 180.0,
            terms: terms(0.2, 54.0),
            length_ms: 40_000,
            failures: Vec::new(),
            tries: 3,
            crowds: Vec::new(),
            crowd: 1.0,
            kills: Vec::new(),
            unheard: Vec::new(),
            held_up: Vec::new(),
        }
    }

    /// Failures, crowds and kills at random times.
    fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut spans = |count: usize, longest: u64| -> Vec<Span> {
            let starts = (0..count).map(|_| rng.random_range(10_000..30_000));
            let starts: Vec<u64> = starts.collect();
            let spans = starts
                .into_iter()
                .map(|from| (from, from + rng.random_range(100..longest)));
            spans.collect()
        };
        let (failures, crowds) = (spans(4, 6_000), spans(3, 8_000));
        let kills = (0..rng.random_range(0..6)).map(|_| {
            let at = rng.random_range(1_000..3_000) * STEP_MS;
            (at, [0.2, 0.6, 1.0][rng.random_range(0..3)])
        });
        let kills = kills.collect();
        Scenario {
            gateways: [1, 7, 40][seed as usize % 3],
            requests_per_s: [30.0, 180.0, 700.0][seed as usize / 3 % 3],
            failures,
            crowds,
            crowd: rng.random_range(0.0..5.0),
            tries: rng.random_range(1..4),
            kills,
            ..Scenario::quiet(seed)
        }
    }

    /// The day on which the retries of several generations of processes added up.
    fn killed_while_endpoints_fail() -> Self {
        Scenario {
            seed: 6402,
            gateways: 7,
            requests_per_s: 157.0,
            terms: terms(0.2, 54.0),
            length_ms: 40_000,
            failures: vec![(13_000, 23_000)],
            tries: 1,
            crowds: Vec::new(),
            crowd: 1.0,
            kills: vec![(15_000, 1.0), (17_500, 1.0), (20_000, 1.0), (22_500, 1.0)],
            unheard: Vec::new(),
            held_up: Vec::new(),
        }
    }
}

impl Scenario {
    /// When a retry that is sent now arrives.
    fn arrival(&self, now_ms: u64) -> u64 {
        let held_up = self
            .held_up
            .iter()
            .find(|(from, to)| (*from..*to).contains(&now_ms));
        held_up.map_or(now_ms, |(_, to)| *to)
    }
}

fn terms(ratio: f64, extra: f64) -> RetryTerms {
    RetryTerms {
        ratio,
        extra,
        window: ms(WINDOW_MS),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The process of one gateway. Its clock starts with it.
struct Process {
    budget: RetryBudget,
    share: EqualShare,
    started_ms: u64,
    /// Arrivals of its retries that it hasn't been told of.
    unsettled: Vec<u64>,
}

impl Process {
    fn new(terms: RetryTerms, started_ms: u64) -> Self {
        Process {
            budget: RetryBudget::new(terms),
            share: EqualShare::default(),
            started_ms,
            unsettled: Vec::new(),
        }
    }

    fn record_request(&mut self, now_ms: u64) {
        self.budget.record_request(ms(now_ms - self.started_ms));
    }

    fn record_count(&mut self, now_ms: u64, gateways: usize) {
        if now_ms >= self.started_ms + COUNTED_AFTER_MS {
            let uptime = ms(now_ms - self.started_ms);
            self.share.record_count(uptime, gateways);
        }
    }

    fn settle_arrived(&mut self, now_ms: u64) {
        let arrived = self.unsettled.extract_if(.., |at| *at <= now_ms);
        for at in arrived {
            self.budget.settle(ms(at - self.started_ms));
        }
    }

    fn try_spend(&mut self, now_ms: u64) -> bool {
        let uptime = ms(now_ms - self.started_ms);
        let part = self.share.part(uptime, ms(WINDOW_MS));
        self.budget.try_spend(uptime, part)
    }
}

/// Requests and retries of all processes, by time in milliseconds.
#[derive(Default)]
struct History {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl History {
    fn play(scenario: &Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut history = History::default();
        let mut processes: Vec<Process> = (0..scenario.gateways)
            .map(|_| Process::new(scenario.terms, 0))
            .collect();
        for now in (0..scenario.length_ms).step_by(STEP_MS as usize) {
            for (at, share) in &scenario.kills {
                if *at == now {
                    for process in &mut processes {
                        if rng.random_bool(*share) {
                            *process = Process::new(scenario.terms, now + RESTART_MS);
                        }
                    }
                }
            }
            let is_within =
                |spans: &[Span]| spans.iter().any(|(from, to)| (*from..*to).contains(&now));
            let counted = if is_within(&scenario.unheard) {
                1
            } else {
                scenario.gateways
            };
            for process in &mut processes {
                process.record_count(now, counted);
                process.settle_arrived(now);
            }
            let crowd = if is_within(&scenario.crowds) {
                scenario.crowd
            } else {
                1.0
            };
            let expected = scenario.requests_per_s * crowd * STEP_MS as f64 / 1000.0;
            let count = expected as u64 + u64::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                history.requests.push(now);
                let process = &mut processes[rng.random_range(0..scenario.gateways)];
                if now < process.started_ms {
                    continue;
                }
                process.record_request(now);
                if is_within(&scenario.failures) {
                    for _ in 0..scenario.tries {
                        if process.try_spend(now) {
                            let arrival = scenario.arrival(now);
                            history.retries.push(arrival);
                            process.unsettled.push(arrival);
                        }
                    }
                }
            }
        }
        history.retries.sort_unstable();
        history
    }

    /// Largest number of retries beyond what a window allows; negative if all windows stay within it.
    fn worst_excess(&self, terms: RetryTerms) -> f64 {
        let starts = self.retries.iter().copied();
        let starts = starts.chain((0..*self.retries.last().unwrap_or(&0)).step_by(50));
        starts
            .map(|start| self.excess(terms, start))
            .fold(f64::NEG_INFINITY, f64::max)
    }

    // The requests of the window, of the one before it or of the one half a window before it count, whichever are most.
    fn excess(&self, terms: RetryTerms, start: u64) -> f64 {
        let window = terms.window.as_millis() as u64;
        let requests = [0, window / 2, window].map(|back| match start.checked_sub(back) {
            Some(from) => count(&self.requests, from, from + window),
            None => count(&self.requests, 0, start + window - back),
        });
        let requests = requests.into_iter().max().unwrap_or(0);
        let retries = count(&self.retries, start, start + window);
        retries as f64 - (terms.ratio * requests as f64 + terms.extra)
    }
}

fn count(times: &[u64], from: u64, to: u64) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}

// Guards against retries of a process and of those that it replaced adding up to more than one budget.
#[test]
fn retries_of_gateways_that_are_killed_again_and_again_stay_within_one_budget() {
    let scenario = Scenario::killed_while_endpoints_fail();
    let excess = History::play(&scenario).worst_excess(scenario.terms);
    assert!(excess <= 0.0, "{excess} retries beyond the budget");
}

// Guards against retries being forgotten before their window is over: two pulses of failures nine seconds apart.
#[test]
fn retries_of_two_pulses_of_failures_within_one_window_stay_within_one_budget() {
    for length in (200..1_000).step_by(100) {
        let scenario = Scenario {
            failures: vec![(9_990 - length, 9_990), (19_000, 19_000 + length)],
            ..Scenario::quiet(length)
        };
        let excess = History::play(&scenario).worst_excess(scenario.terms);
        assert!(
            excess <= 0.0,
            "{length} ms: {excess} retries beyond the budget"
        );
    }
}

// Guards against requests that earn retries for a window without counting for it: a crowd that ends before the window with
// the failures begins.
#[test]
fn retries_after_a_crowd_stay_within_the_budget_of_their_window() {
    for length in [1_000, 2_500, 5_000] {
        let crowd_from = 12_000;
        for pause in (0..8_000).step_by(500) {
            let failures_from = crowd_from + length + pause;
            let scenario = Scenario {
                crowds: vec![(crowd_from, crowd_from + length)],
                crowd: 8.0,
                failures: vec![(failures_from, failures_from + 3_000)],
                requests_per_s: 40.0,
                ..Scenario::quiet(length + pause)
            };
            let excess = History::play(&scenario).worst_excess(scenario.terms);
            assert!(
                excess <= 0.0,
                "{length} {pause}: {excess} retries beyond the budget"
            );
        }
    }
}

// Guards against a part of the fixed allowance that grows while other gateways, which are not heard, use theirs.
#[test]
fn retries_of_gateways_that_no_longer_hear_each_other_stay_within_one_budget() {
    let scenario = Scenario {
        requests_per_s: 20.0,
        failures: vec![(26_000, 34_000)],
        unheard: vec![(25_000, 40_000)],
        ..Scenario::quiet(4)
    };
    let excess = History::play(&scenario).worst_excess(scenario.terms);
    assert!(excess <= 0.0, "{excess} retries beyond the budget");
}

// Guards against retries that are held up and arrive in a window in which they no longer count.
#[test]
fn retries_that_arrive_late_stay_within_the_budget_of_the_window_in_which_they_arrive() {
    let scenario = Scenario {
        failures: vec![(15_000, 35_000)],
        held_up: vec![(15_000, 19_000), (22_000, 25_000)],
        ..Scenario::quiet(5)
    };
    let excess = History::play(&scenario).worst_excess(scenario.terms);
    assert!(excess <= 0.0, "{excess} retries beyond the budget");
}

// Guards against any pattern of load, failures and kills that makes retries exceed the budget of a window.
#[test]
fn retries_stay_within_the_budget_for_random_loads_failures_and_kills() {
    for seed in 0..200 {
        let scenario = Scenario::random(seed);
        let excess = History::play(&scenario).worst_excess(scenario.terms);
        assert!(
            excess <= 0.0,
            "seed {seed}: {excess} retries beyond the budget"
        );
    }
}

// Guards against a budget that is kept by granting little of it.
#[test]
fn failures_that_last_get_at_least_four_fifths_of_the_budget() {
    let scenario = Scenario {
        failures: vec![(15_000, 40_000)],
        ..Scenario::quiet(2)
    };
    let history = History::play(&scenario);
    for start in (15_000..30_000).step_by(1_000) {
        let requests = count(&history.requests, start, start + WINDOW_MS) as f64;
        let allowed = scenario.terms.ratio * requests + scenario.terms.extra;
        let granted = count(&history.retries, start, start + WINDOW_MS) as f64;
        assert!(
            granted >= 0.8 * allowed,
            "{granted} of {allowed} from {start} ms"
        );
    }
}

quickcheck! {
    fn retries_stay_within_the_budget_in_every_window(events: Vec<(u8, bool)>) -> bool {
        let own_part = terms(0.2, 4.0);
        let mut budget = RetryBudget::new(terms(0.2, 16.0));
        let mut now = 0;
        let mut history = History::default();
        for (pause, is_retry) in events {
            now += u64::from(pause) * 4;
            if !is_retry {
                budget.record_request(ms(now));
                history.requests.push(now);
            } else if budget.try_spend(ms(now), 0.25) {
                budget.settle(ms(now));
                history.retries.push(now);
            }
        }
        history.worst_excess(own_part) <= 0.0
    }
}
