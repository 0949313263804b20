//! What happens when: drawn from a seed, the same each time.

use std::fmt;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Time in which everything starts, in ms.
const START: u64 = 4_000;
/// Time before the end at which all gateways are killed, in ms. It holds the 12 s in which the
/// users' rules let a fleet come back, and some seconds in which all must serve.
const LAST_FAULT: u64 = 17_000;
/// Time before that at which the operator writes a last configuration, in ms.
const CHANGE_BEFORE_LAST: u64 = 60;
/// Length of a bout of faults, in ms.
const BOUT: u64 = 4_500;
/// Calm after a bout, in ms: long enough that gateways count as in touch (3 s) and a bound of 2 s
/// then runs out.
const CALM: u64 = 7_000;
/// Time into a calm at which the operator acts, in ms.
const CHANGE_IN_CALM: u64 = 3_800;

/// Time into a calm at which gateways are asked to stop, in ms: after the bounds of the change.
const STOPS_IN_CALM: [u64; 3] = [6_300, 6_450, 6_600];
/// Makes the draw of these stops another than that of the faults, so that a seed keeps its faults.
const STOPS_SALT: u64 = 0x5707;
/// The same for what endpoints say of themselves.
const SAID_SALT: u64 = 0x5a1d;
/// Time, in ms, for which an endpoint asks for a pause: past the half second within which requests may cross its word.
const PAUSES: std::ops::Range<u64> = 1_500..5_000;

/// The same for limits that endpoints name.
const LIMIT_SALT: u64 = 0x11317;
/// Limits that endpoints name, in thousandths of a request a second.
const LIMITS: [u64; 5] = [0, 300, 1_000, 4_000, 10_000];
/// Time, in ms, for which an endpoint names one: several windows of the users' rule past the time until gateways are in touch.
const LIMITED_FOR: std::ops::Range<u64> = 8_000..12_000;

/// Salt of the generator for store restores, so that the other faults of a seed stay the same.
const RESTORE_SALT: u64 = 0x4e57;
/// Time, in ms, for which the store is down before a restore.
const RESTORE_DOWNTIME: std::ops::Range<u64> = 100..2_500;
/// Age of the restored copy, in ms, when the store goes down.
const RESTORE_COPY_AGE: std::ops::Range<u64> = 200..6_000;

/// Time, in ms, from a restore until the change in a calm: slightly more than gateways need to count as in touch.
const RESTORE_BEFORE_CHANGE: u64 = 3_200;

/// Salt of the generator for failures of all endpoints.
const FAILURE_SALT: u64 = 0xfa11;
/// Time, in ms, for which all endpoints fail.
const FAILURE_TIME: std::ops::Range<u64> = 2_000..4_000;
/// Times into such a failure, in ms, at which all gateways are killed one after the other.
const KILLS_IN_FAILURE: [u64; 2] = [600, 2_100];
/// Time between two of these kills, in ms, and for which a killed gateway is down.
const KILL_GAP: u64 = 40;
const KILL_DOWNTIME: u64 = 300;

/// Salt of the generator for gateways that most clients reach.
const CONCENTRATE_SALT: u64 = 0xc09c;
/// Time into a calm, in ms, and length of such a concentration: past the time until gateways are in touch.
const CONCENTRATE_IN_CALM: u64 = 300;
const CONCENTRATE_TIME: u64 = 5_900;

/// One act from outside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Act {
    /// Stops a gateway's process for some ms.
    Pause { gateway: usize, ms: u64 },
    /// Kills a gateway and starts it again after some ms.
    Kill { gateway: usize, ms: u64 },
    /// Asks a gateway to stop; it is started again when it is gone.
    Stop { gateway: usize },
    /// Tells a gateway that its settings may have changed.
    Reload { gateway: usize },
    /// Makes the way between a gateway and the store bad for some ms.
    Link { gateway: usize, how: Way, ms: u64 },
    /// Makes the way between one region's gateways and the store bad for some ms.
    Region { how: Way, ms: u64 },
    /// Makes the way to an endpoint bad for some ms.
    EndpointLink { endpoint: usize, how: Way, ms: u64 },
    /// Makes the store bad for some ms.
    Store { how: Mood, ms: u64 },
    /// The store forgets its history.
    Forget,
    /// The store is down for `away_ms`, then is restored from a copy taken `age_ms` before it went down.
    Restore { away_ms: u64, age_ms: u64 },
    /// The store turns a gateway away for some ms.
    TurnAway { gateway: usize, ms: u64 },
    /// The operator writes the next configuration.
    Configure,
    /// An endpoint says that it leaves, and is replaced.
    Leave { endpoint: usize },
    /// An endpoint leaves and says so in its answers only, and is replaced.
    LeaveUntold { endpoint: usize },
    /// For some ms an endpoint turns all away and asks for a pause until then.
    AskPause { endpoint: usize, ms: u64 },
    /// For some ms an endpoint names a limit, in thousandths of a request a second.
    NameLimit {
        endpoint: usize,
        milli: u64,
        ms: u64,
    },
    /// For some ms every request fails at all endpoints.
    FailAll { ms: u64 },
    /// For some ms most new connections of clients go to one gateway.
    Concentrate { gateway: usize, ms: u64 },
    /// An endpoint ends without a word, and is replaced.
    Crash { endpoint: usize },
    /// A gateway is asked to stop, and its next starts are of the older build or of the one under test.
    Replace { gateway: usize, older: bool },
    /// All gateways are killed and started again.
    KillAll,
}

/// What is wrong with a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Way {
    /// Nothing.
    Sound,
    /// Bytes take so many ms longer.
    Delayed(u64),
    /// Connections are reset and refused.
    Cut,
    /// Bytes of neither side arrive.
    Silent,
    /// What is asked arrives, what is answered doesn't.
    Answerless,
    /// So many bytes a second pass.
    Thin(u64),
}

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Mood {
    /// Nothing.
    Good,
    /// Answers take so many ms longer.
    Slow(u64),
    /// Every call gets 503.
    Down,
    /// Some calls are done and never answered.
    Loses,
    /// Some writes are neither answered nor done until later, if their condition then holds.
    Late,
}

/// An act and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Milliseconds since the start.
    pub at: u64,
    /// What happens.
    pub act: Act,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// What it is drawn from.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Gateways.
    pub gateways: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Whether all gateways begin as an older build.
    pub has_older: bool,
    /// Acts in order of time.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan.
    pub fn new(seed: u64, seconds: u64, gateways: usize) -> Self {
        let endpoints = (gateways + 2).min(8);
        let last = (seconds * 1000).saturating_sub(LAST_FAULT);
        let mut draw = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed),
            gateways,
            endpoints,
        };
        let mut stops = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed ^ STOPS_SALT),
            gateways,
            endpoints,
        };
        let mut said = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed ^ SAID_SALT),
            gateways,
            endpoints,
        };
        let mut limits = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed ^ LIMIT_SALT),
            gateways,
            endpoints,
        };
        let mut restores = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed ^ RESTORE_SALT),
            gateways,
            endpoints,
        };
        let mut failures = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed ^ FAILURE_SALT),
            gateways,
            endpoints,
        };
        let mut concentrations = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed ^ CONCENTRATE_SALT),
            gateways,
            endpoints,
        };
        let mut steps = Vec::new();
        let mut at = START;
        while at < last {
            draw.bout(at, last, &mut steps);
            restores.restores(at, last, &mut steps);
            stops.stops(at, last, &mut steps);
            said.said(at, last, &mut steps);
            limits.limits(at, last, &mut steps);
            failures.failures(at, last, &mut steps);
            concentrations.concentrations(at, last, &mut steps);
            at += BOUT + CALM;
        }
        // A configuration just before: what the store took must be in force when all are back.
        steps.push(Step {
            at: last.saturating_sub(CHANGE_BEFORE_LAST),
            act: Act::Configure,
        });
        steps.push(Step {
            at: last,
            act: Act::KillAll,
        });
        steps.sort_by_key(|step| step.at);
        Plan {
            seed,
            seconds,
            gateways,
            endpoints,
            has_older: false,
            steps,
        }
    }

    /// The same with gateways that begin as an older build and are replaced one after the other; half of them are taken back
    /// and replaced again.
    pub fn with_older(mut self) -> Self {
        let last = (self.seconds * 1000).saturating_sub(LAST_FAULT);
        let all = 0..self.gateways;
        let half = 0..self.gateways / 2;
        let forward = all.map(|gateway| (gateway, false));
        let back = half.clone().map(|gateway| (gateway, true));
        let again = half.map(|gateway| (gateway, false));
        let replaced: Vec<(usize, bool)> = forward.chain(back).chain(again).collect();
        let gap = last.saturating_sub(START) / (replaced.len() as u64 + 1);
        for (number, (gateway, older)) in (1..).zip(replaced) {
            let at = START + gap * number;
            let act = Act::Replace { gateway, older };
            self.steps.push(Step { at, act });
        }
        self.steps.sort_by_key(|step| step.at);
        self.has_older = true;
        self
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Plan {
            seed,
            seconds,
            gateways,
            endpoints,
            steps,
            ..
        } = self;
        writeln!(
            f,
            "plan: seed {seed}, {seconds} s, {gateways} gateways, {endpoints} endpoints"
        )?;
        for step in steps {
            writeln!(f, "  {:>6} ms  {:?}", step.at, step.act)?;
        }
        Ok(())
    }
}

struct Draw {
    rng: ChaCha8Rng,
    gateways: usize,
    endpoints: usize,
}

impl Draw {
    // Overlapping faults, then a calm in which the operator acts.
    fn bout(&mut self, from: u64, last: u64, steps: &mut Vec<Step>) {
        let mut at = from;
        while at < (from + BOUT).min(last) {
            let longest = (from + BOUT + 500).saturating_sub(at).max(400);
            let act = self.fault(longest);
            steps.push(Step { at, act });
            at += self.rng.random_range(150..1_000);
        }
        let change = from + BOUT + CHANGE_IN_CALM;
        if change < last {
            let act = Act::Configure;
            steps.push(Step { at: change, act });
            let endpoint = self.rng.random_range(0..self.endpoints);
            let act = Act::Leave { endpoint };
            steps.push(Step {
                at: change + 100,
                act,
            });
        }
    }

    // Planned stops with nothing else wrong, one after another.
    fn stops(&mut self, from: u64, last: u64, steps: &mut Vec<Step>) {
        for stop in STOPS_IN_CALM {
            let at = from + BOUT + stop;
            let gateway = self.rng.random_range(0..self.gateways);
            if at < last {
                let act = Act::Stop { gateway };
                steps.push(Step { at, act });
            }
        }
    }

    // Endpoints that leave untold or ask for a pause, amid the faults and in the calm after them.
    fn said(&mut self, from: u64, last: u64, steps: &mut Vec<Step>) {
        for part in [from..from + BOUT, from + BOUT..from + BOUT + CALM] {
            let mut at = || self.rng.random_range(part.clone());
            let (leave_at, pause_at) = (at(), at());
            let endpoint = self.rng.random_range(0..self.endpoints);
            let leave = Act::LeaveUntold { endpoint };
            let endpoint = self.rng.random_range(0..self.endpoints);
            let ms = self.rng.random_range(PAUSES);
            let pause = Act::AskPause { endpoint, ms };
            let acts = [(leave_at, leave), (pause_at, pause)].into_iter();
            let acts = acts.filter(|(at, _)| *at < last);
            steps.extend(acts.map(|(at, act)| Step { at, act }));
        }
    }

    // Endpoints in need, amid the faults and in the calm after them.
    fn limits(&mut self, from: u64, last: u64, steps: &mut Vec<Step>) {
        for part in [from..from + BOUT, from + BOUT..from + BOUT + CALM] {
            let at = self.rng.random_range(part);
            let endpoint = self.rng.random_range(0..self.endpoints);
            let milli = LIMITS[self.rng.random_range(0..LIMITS.len())];
            let ms = self.rng.random_range(LIMITED_FOR);
            if at < last {
                let ms = ms.min(last - at);
                let act = Act::NameLimit {
                    endpoint,
                    milli,
                    ms,
                };
                steps.push(Step { at, act });
            }
        }
    }

    // One restore in each calm, early enough that gateways are in touch again before its change,
    // and in about half of the bouts another one during the faults.
    fn restores(&mut self, from: u64, last: u64, steps: &mut Vec<Step>) {
        let during_faults = self
            .rng
            .random_range(from + RESTORE_DOWNTIME.end..from + BOUT);
        let has_second = self.rng.random_ratio(1, 2);
        let before_change = from + BOUT + CHANGE_IN_CALM - RESTORE_BEFORE_CHANGE;
        let restore_times = [
            Some(during_faults).filter(|_| has_second),
            Some(before_change),
        ];
        for restored_at in restore_times.into_iter().flatten() {
            let away_ms = self.rng.random_range(RESTORE_DOWNTIME);
            let age_ms = self.rng.random_range(RESTORE_COPY_AGE);
            if restored_at < last {
                let at = restored_at - away_ms;
                let act = Act::Restore { away_ms, age_ms };
                steps.push(Step { at, act });
            }
        }
    }

    // In half of the bouts all endpoints fail while all gateways are killed twice, so that retries of several generations of
    // processes fall into one window.
    fn failures(&mut self, from: u64, last: u64, steps: &mut Vec<Step>) {
        let ms = self.rng.random_range(FAILURE_TIME);
        let at = from + self.rng.random_range(0..500);
        if !self.rng.random_ratio(1, 2) || at + ms >= last {
            return;
        }
        let act = Act::FailAll { ms };
        steps.push(Step { at, act });
        for into in KILLS_IN_FAILURE {
            for gateway in 0..self.gateways {
                let at = at + into + KILL_GAP * gateway as u64;
                let ms = KILL_DOWNTIME;
                let act = Act::Kill { gateway, ms };
                steps.push(Step { at, act });
            }
        }
    }

    // In every other calm most clients reach one gateway.
    fn concentrations(&mut self, from: u64, last: u64, steps: &mut Vec<Step>) {
        let gateway = self.rng.random_range(0..self.gateways);
        let is_due = self.rng.random_ratio(1, 2);
        let at = from + BOUT + CONCENTRATE_IN_CALM;
        if is_due && at + CONCENTRATE_TIME < last {
            let ms = CONCENTRATE_TIME;
            let act = Act::Concentrate { gateway, ms };
            steps.push(Step { at, act });
        }
    }

    fn fault(&mut self, longest: u64) -> Act {
        let gateway = self.rng.random_range(0..self.gateways);
        let endpoint = self.rng.random_range(0..self.endpoints);
        let ms = self.rng.random_range(200..=longest.max(201));
        match self.rng.random_range(0..16) {
            0 | 1 => Act::Pause { gateway, ms },
            2 | 3 => Act::Kill {
                gateway,
                ms: ms.min(1_000),
            },
            4 | 5 => Act::Stop { gateway },
            6 => Act::Reload { gateway },
            7 | 8 => Act::Link {
                gateway,
                how: self.way(),
                ms,
            },
            9 => Act::Region {
                how: self.way(),
                ms,
            },
            10 => Act::EndpointLink {
                endpoint,
                how: self.way(),
                ms,
            },
            11 => Act::Store {
                how: self.mood(),
                ms,
            },
            12 => Act::Forget,
            13 => Act::TurnAway { gateway, ms },
            14 => Act::Configure,
            _ => Act::Crash { endpoint },
        }
    }

    fn way(&mut self) -> Way {
        match self.rng.random_range(0..5) {
            0 => Way::Delayed(self.rng.random_range(20..400)),
            1 => Way::Cut,
            2 => Way::Silent,
            3 => Way::Answerless,
            _ => Way::Thin(self.rng.random_range(2_000..20_000)),
        }
    }

    fn mood(&mut self) -> Mood {
        match self.rng.random_range(0..4) {
            0 => Mood::Slow(self.rng.random_range(100..900)),
            1 => Mood::Down,
            2 => Mood::Loses,
            _ => Mood::Late,
        }
    }
}
