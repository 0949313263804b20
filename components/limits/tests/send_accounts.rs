//! A fleet in virtual time that sends to one endpoint under a limit: what any number of gateways send together in four seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::{SendAccounts, SendRate, SendTerms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: u64 = 7;
/// The users' rule counts requests in this time, in ms.
const WINDOW: u64 = 4_000;
const STEP: u64 = 5;
/// A gateway that hears nothing of a keeper goes on asking it for so long, in ms.
const SILENT_AFTER: u64 = 1_500;
/// Gateways notice the same at times that differ by up to this, in ms.
const VIEWS_DIFFER: u64 = 500;
/// A granted send leaves within this time, in ms, or never.
const GRANT_LIFE: u64 = 250;
/// A query without a reply is given up, and the endpoint passed over, for this long, in ms.
const KEEPER_PAUSE: u64 = 250;
/// Longest way of a message, in ms.
const LONGEST_WAY: u64 = 30;

/// What happens to the keepers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Some messages are lost.
    Losses,
    /// The keeper ends and another follows, again and again, each time in ms.
    Killed(u64),
    /// The keeper stands still, others follow, and it goes on with what it had.
    Frozen,
    /// The gateways are parted in two, each with a keeper of its own.
    Cut,
}

struct World {
    rng: ChaCha8Rng,
    fault: Fault,
    per_s: f64,
    keepers: BTreeMap<usize, SendAccounts>,
    arrivals: Vec<u64>,
}

struct Sender {
    /// When it wants to send next.
    wants_at: u64,
    /// Until when it knows the limit as used up.
    spent_until: u64,
    /// How far behind its view of the keepers is, in ms.
    behind: u64,
    side: usize,
}

impl World {
    fn new(seed: u64, fault: Fault, per_s: f64) -> Self {
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault,
            per_s,
            keepers: BTreeMap::new(),
            arrivals: Vec::new(),
        }
    }

    /// The keeper that runs, and the one that a sender asks; a number for each process.
    fn keepers_at(&self, now: u64, sender: &Sender) -> (usize, usize) {
        let seen = now.saturating_sub(SILENT_AFTER + sender.behind);
        match self.fault {
            Fault::None | Fault::Losses => (0, 0),
            Fault::Killed(every) => ((now / every) as usize, (seen / every) as usize),
            // It stands still in every other bout, and is seen again at once.
            Fault::Frozen => {
                let stands_still = |at: u64| at / 5_000 % 2 == 1;
                match (stands_still(now), stands_still(now) && stands_still(seen)) {
                    (true, true) => (1, 1),
                    (true, false) => (1, 0),
                    (false, _) => (0, 0),
                }
            }
            Fault::Cut => match now < 6_000 + SILENT_AFTER + sender.behind {
                true => (0, 0),
                false => (sender.side, sender.side),
            },
        }
    }

    // Part of the limit that a keeper hands out, by the gateways that it hears.
    fn part(&self, now: u64, keeper: usize) -> f64 {
        let is_cut = self.fault == Fault::Cut && now >= 6_000 + SILENT_AFTER;
        match (is_cut, keeper) {
            (false, _) => 1.0,
            (true, 0) => 0.7,
            (true, _) => 0.3,
        }
    }

    fn is_reached(&mut self, now: u64, sender: &Sender, asked: usize) -> bool {
        let (running, _) = self.keepers_at(now, sender);
        let is_beyond_cut = self.fault == Fault::Cut && now >= 6_000 && sender.side != asked;
        let runs = match self.fault {
            Fault::Killed(_) | Fault::Frozen => running == asked,
            _ => true,
        };
        let is_lost = self.fault == Fault::Losses && self.rng.random_bool(0.1);
        runs && !is_beyond_cut && !is_lost
    }

    fn ask(&mut self, now: u64, sender: &mut Sender) {
        let (_, asked) = self.keepers_at(now, sender);
        if !self.is_reached(now, sender, asked) {
            sender.spent_until = now + KEEPER_PAUSE;
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
                let way = self.rng.random_range(1..LONGEST_WAY);
                sender.spent_until = now + way + wait.as_millis() as u64;
            }
            Ok(()) if self.fault == Fault::Losses && self.rng.random_bool(0.1) => {
                sender.spent_until = now + KEEPER_PAUSE;
            }
            Ok(()) => {
                let leaves = now + self.rng.random_range(0..GRANT_LIFE);
                self.arrivals.push(leaves);
            }
        }
    }

    /// All gateways together want to send so many times what the limit allows.
    fn run(&mut self, gateways: usize, times: f64, until: u64) {
        let gap = (gateways as f64 * 1000.0 / (times * self.per_s)).max(1.0) as u64;
        let mut senders: Vec<Sender> = (0..gateways)
            .map(|i| Sender {
                wants_at: self.rng.random_range(0..=gap),
                spent_until: 0,
                behind: self.rng.random_range(0..VIEWS_DIFFER),
                side: usize::from(i % 10 >= 7),
            })
            .collect();
        for now in (0..until).step_by(STEP as usize) {
            for sender in &mut senders {
                if now >= sender.wants_at.max(sender.spent_until) {
                    self.ask(now, sender);
                    sender.wants_at = now + self.rng.random_range(1..=2 * gap);
                }
            }
        }
        self.arrivals.sort_unstable();
    }

    fn most_in_window(&self) -> usize {
        let arrivals = &self.arrivals;
        let in_window = |(i, from): (usize, &u64)| {
            let end = arrivals.partition_point(|at| *at < from + WINDOW);
            end - i
        };
        let counts = arrivals.iter().enumerate().map(in_window);
        counts.max().unwrap_or_default()
    }

    fn allowed(&self) -> usize {
        (1.5 * self.per_s * WINDOW as f64 / 1000.0 + 5.0) as usize
    }
}

const FLEETS: [usize; 4] = [9, 83, 323, 986];
const RATES: [f64; 4] = [0.3, 1.0, 4.0, 40.0];

// Guards against a sum past an endpoint's limit that grows with the gateways, or while another keeper follows.
#[test]
fn no_number_of_gateways_sends_more_than_the_users_rule_allows_whatever_befalls_the_keepers() {
    let faults = [
        Fault::None,
        Fault::Losses,
        Fault::Killed(6_000),
        Fault::Killed(2_300),
        Fault::Frozen,
        Fault::Cut,
    ];
    for gateways in FLEETS {
        for per_s in RATES {
            for (seed, fault) in (0..).zip(faults) {
                let mut world = World::new(seed, fault, per_s);
                world.run(gateways, 5.0, 30_000);
                let (most, allowed) = (world.most_in_window(), world.allowed());
                assert!(
                    most <= allowed,
                    "{most}, {allowed} allowed: {gateways} gateways, {per_s} a second, {fault:?}"
                );
            }
        }
    }
}

// Guards against a limit that is kept by sending less than the endpoint takes.
#[test]
fn nine_tenths_of_a_limit_are_used_where_all_are_in_touch_and_there_is_demand() {
    for gateways in FLEETS {
        for per_s in RATES {
            let mut world = World::new(1, Fault::None, per_s);
            let seconds = 60.0_f64.max(40.0 / per_s);
            world.run(gateways, 3.0, (seconds * 1000.0) as u64);
            let used = world.arrivals.len() as f64 / (per_s * seconds);
            assert!(used >= 0.9, "{used}: {gateways} gateways, {per_s} a second");
        }
    }
}

#[test]
fn an_endpoint_that_takes_none_is_asked_now_and_then_whether_that_still_holds() {
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
fn less_urgent_requests_leave_a_send_for_urgent_ones() {
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

// Guards against a rush whose line is told to others long after it is over.
#[test]
fn after_a_rush_the_time_to_come_back_is_that_of_the_next_send_again() {
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
    // The line is over; what was saved up is taken, and the next send is a second away.
    for _ in 0..3 {
        assert_eq!(take(6_000), Ok(()));
    }
    assert_eq!(take(6_000), Err(Duration::from_secs(1)));
}
