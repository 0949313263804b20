//! Simulates, in virtual time, gateways that send to one endpoint with a rate limit, and checks how many requests they send
//! together in any four seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::{SendAccounts, SendRate, SendTerms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: u64 = 7;
/// Sliding window for which the number of requests is bounded, in ms.
const WINDOW_MS: u64 = 4_000;
const STEP_MS: u64 = 5;
/// Time for which a gateway still asks a keeper that has fallen silent, in ms.
const SILENT_AFTER_MS: u64 = 1_500;
/// Maximum difference between the times at which gateways notice the same change, in ms.
const MAX_VIEW_SKEW_MS: u64 = 500;
/// Time within which a granted send leaves the gateway, in ms; after it the grant is lost.
const GRANT_TTL_MS: u64 = 250;
/// Time for which a gateway skips the endpoint after a query without a reply, in ms.
const KEEPER_PAUSE_MS: u64 = 250;
/// Maximum network delay of a message, in ms.
const MAX_NETWORK_DELAY_MS: u64 = 30;

/// Faults of the keepers and of the messages to them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A tenth of the queries and of the replies is lost.
    Losses,
    /// The keeper is killed and another takes over, repeatedly, at this interval in ms.
    Killed(u64),
    /// The keeper's process is suspended, another takes over, and the first resumes with its old state.
    Suspended,
    /// A network partition splits the gateways into two groups, each with its own keeper.
    Partition,
}

struct Simulation {
    rng: ChaCha8Rng,
    fault: Fault,
    per_s: f64,
    keepers: BTreeMap<usize, SendAccounts>,
    arrivals: Vec<u64>,
}

struct Sender {
    /// When it has its next request, in ms.
    next_request_at: u64,
    /// Until when it takes the limit to be used up, in ms.
    limit_used_up_until: u64,
    /// Delay of its view of the keepers, in ms.
    view_delay_ms: u64,
    /// Its side of the partition, which is also the number of the keeper there.
    side: usize,
}

impl Simulation {
    fn new(seed: u64, fault: Fault, per_s: f64) -> Self {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault,
            per_s,
            keepers: BTreeMap::new(),
            arrivals: Vec::new(),
        }
    }

    /// Numbers of the keeper process that runs and of the one that a sender asks.
    fn keepers_at(&self, now: u64, sender: &Sender) -> (usize, usize) {
        let seen = now.saturating_sub(SILENT_AFTER_MS + sender.view_delay_ms);
        match self.fault {
            Fault::None | Fault::Losses => (0, 0),
            Fault::Killed(every) => ((now / every) as usize, (seen / every) as usize),
            // It is suspended in every other period of 5 s, and seen again as soon as it resumes.
            Fault::Suspended => {
                let is_suspended = |at: u64| at / 5_000 % 2 == 1;
                match (is_suspended(now), is_suspended(now) && is_suspended(seen)) {
                    (true, true) => (1, 1),
                    (true, false) => (1, 0),
                    (false, _) => (0, 0),
                }
            }
            Fault::Partition => match now < 6_000 + SILENT_AFTER_MS + sender.view_delay_ms {
                true => (0, 0),
                false => (sender.side, sender.side),
            },
        }
    }

    // Part of the limit that a keeper may grant, by the part of the gateways on its side.
    fn part(&self, now: u64, keeper: usize) -> f64 {
        let is_partitioned = self.fault == Fault::Partition && now >= 6_000 + SILENT_AFTER_MS;
        match (is_partitioned, keeper) {
            (false, _) => 1.0,
            (true, 0) => 0.7,
            (true, _) => 0.3,
        }
    }

    fn is_reached(&mut self, now: u64, sender: &Sender, asked: usize) -> bool {
        let (running, _) = self.keepers_at(now, sender);
        let is_beyond_partition =
            self.fault == Fault::Partition && now >= 6_000 && sender.side != asked;
        let runs = match self.fault {
            Fault::Killed(_) | Fault::Suspended => running == asked,
            _ => true,
        };
        let is_lost = self.fault == Fault::Losses && self.rng.random_bool(0.1);
        runs && !is_beyond_partition && !is_lost
    }

    fn ask(&mut self, now: u64, sender: &mut Sender) {
        let (_, asked) = self.keepers_at(now, sender);
        if !self.is_reached(now, sender, asked) {
            sender.limit_used_up_until = now + KEEPER_PAUSE_MS;
            return;
        }
        let terms = SendTerms {
            rate: SendRate::from_per_s(self.per_s).unwrap(),
            part: self.part(now, asked),
            urgent: self.rng.random_bool(0.5),
        };
        let account = self.keepers.entry(asked).or_default();
        match account.take(Duration::from_millis(now), START, terms) {
            Err(wait) => {
                let network_delay = self.rng.random_range(1..MAX_NETWORK_DELAY_MS);
                sender.limit_used_up_until = now + network_delay + wait.as_millis() as u64;
            }
            Ok(()) if self.fault == Fault::Losses && self.rng.random_bool(0.1) => {
                sender.limit_used_up_until = now + KEEPER_PAUSE_MS;
            }
            Ok(()) => {
                let leaves = now + self.rng.random_range(0..GRANT_TTL_MS);
                self.arrivals.push(leaves);
            }
        }
    }

    /// Runs until `until` ms, with requests at `times` the rate that the limit allows, over all gateways.
    fn run(&mut self, gateways: usize, times: f64, until: u64) {
        let gap = (gateways as f64 * 1000.0 / (times * self.per_s)).max(1.0) as u64;
        let mut senders: Vec<Sender> = (0..gateways)
            .map(|i| Sender {
                next_request_at: self.rng.random_range(0..=gap),
                limit_used_up_until: 0,
                view_delay_ms: self.rng.random_range(0..MAX_VIEW_SKEW_MS),
                side: usize::from(i % 10 >= 7),
            })
            .collect();
        for now in (0..until).step_by(STEP_MS as usize) {
            for sender in &mut senders {
                if now >= sender.next_request_at.max(sender.limit_used_up_until) {
                    self.ask(now, sender);
                    sender.next_request_at = now + self.rng.random_range(1..=2 * gap);
                }
            }
        }
        self.arrivals.sort_unstable();
    }

    fn max_in_window(&self) -> usize {
        let arrivals = &self.arrivals;
        let in_window = |(i, from): (usize, &u64)| {
            let end = arrivals.partition_point(|at| *at < from + WINDOW_MS);
            end - i
        };
        let counts = arrivals.iter().enumerate().map(in_window);
        counts.max().unwrap_or_default()
    }

    fn allowed(&self) -> usize {
        (1.5 * self.per_s * WINDOW_MS as f64 / 1000.0 + 5.0) as usize
    }
}

const GATEWAY_COUNTS: [usize; 4] = [9, 83, 323, 986];
const RATES: [f64; 4] = [0.3, 1.0, 4.0, 40.0];

// Guards against sends beyond an endpoint's limit that grow with the number of gateways or occur while another keeper takes
// over.
#[test]
fn no_number_of_gateways_exceeds_the_allowed_sends_under_any_keeper_fault() {
    let faults = [
        Fault::None,
        Fault::Losses,
        Fault::Killed(6_000),
        Fault::Killed(2_300),
        Fault::Suspended,
        Fault::Partition,
    ];
    for gateways in GATEWAY_COUNTS {
        for per_s in RATES {
            for (seed, fault) in (0..).zip(faults) {
                let mut simulation = Simulation::new(seed, fault, per_s);
                simulation.run(gateways, 5.0, 30_000);
                let (max_sent, allowed) = (simulation.max_in_window(), simulation.allowed());
                assert!(
                    max_sent <= allowed,
                    "{max_sent}, {allowed} allowed: {gateways} gateways, {per_s} a second, {fault:?}"
                );
            }
        }
    }
}

// Guards against a limit that is enforced by sending far less than the endpoint accepts.
#[test]
fn nine_tenths_of_a_limit_are_used_without_faults_and_with_enough_demand() {
    for gateways in GATEWAY_COUNTS {
        for per_s in RATES {
            let mut simulation = Simulation::new(1, Fault::None, per_s);
            let seconds = 60.0_f64.max(40.0 / per_s);
            simulation.run(gateways, 3.0, (seconds * 1000.0) as u64);
            let used = simulation.arrivals.len() as f64 / (per_s * seconds);
            assert!(used >= 0.9, "{used}: {gateways} gateways, {per_s} a second");
        }
    }
}

#[test]
fn an_endpoint_that_accepts_no_requests_still_gets_one_now_and_then() {
    let mut accounts = SendAccounts::default();
    let terms = SendTerms {
        rate: SendRate::from_per_s(0.0).unwrap(),
        part: 1.0,
        urgent: true,
    };
    let granted = (0..100_000).step_by(100).filter(|ms| {
        let now = Duration::from_millis(*ms);
        accounts.take(now, START, terms).is_ok()
    });
    assert!((8..=10).contains(&granted.count()));
}

#[test]
fn requests_that_are_not_urgent_leave_a_send_for_urgent_ones() {
    let mut accounts = SendAccounts::default();
    let mut take = |ms, urgent| {
        let terms = SendTerms {
            rate: SendRate::from_per_s(1.0).unwrap(),
            part: 1.0,
            urgent,
        };
        accounts.take(Duration::from_millis(ms), START, terms)
    };
    assert!(take(0, true).is_err(), "an account begins empty");
    assert!(take(1_500, false).is_err());
    assert!(take(1_500, true).is_ok());
    assert!(take(3_500, false).is_ok());
}

// Guards against retry times that stay spread over a burst of requests long after it is over.
#[test]
fn after_a_burst_the_retry_time_is_that_of_the_next_send_again() {
    let mut accounts = SendAccounts::default();
    let terms = SendTerms {
        rate: SendRate::from_per_s(1.0).unwrap(),
        part: 1.0,
        urgent: true,
    };
    let mut take = |ms| accounts.take(Duration::from_millis(ms), START, terms);
    for _ in 0..1_000 {
        let wait = take(0).unwrap_err();
        assert!(wait <= Duration::from_secs(4), "{wait:?}");
    }
    // The spread retry times have passed: the saved-up sends are taken, and the next one is a second away.
    for _ in 0..3 {
        assert_eq!(take(6_000), Ok(()));
    }
    assert_eq!(take(6_000), Err(Duration::from_secs(1)));
}
