//! Probing one member at a time: directly, again, and through others.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;

/// Time between probes.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered probe is repeated and others are asked to probe.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// Others asked to probe.
pub const HELPERS: usize = 3;

/// What to do about a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Ping this member.
    Ping {
        /// Number of the probe.
        probe: i64,
        /// Member to ping.
        member: String,
    },
    /// Ping it again, and ask helpers to.
    AskHelpers {
        /// Number of the probe.
        probe: i64,
        /// Member to ping.
        member: String,
    },
    /// It did not answer in time.
    Unanswered(String),
}

#[derive(Debug)]
struct Current {
    probe: i64,
    member: String,
    sent: Duration,
    helped: bool,
}

/// The probes of one node.
#[derive(Debug, Default)]
pub struct Prober {
    order: Vec<String>,
    current: Option<Current>,
    next_probe: i64,
    next_at: Duration,
}

impl Prober {
    /// The steps due now. `members` are those to probe, each once before any twice.
    pub fn tick<'a>(
        &mut self,
        now: Duration,
        members: impl Iterator<Item = &'a str>,
        rng: &mut impl Rng,
    ) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        if let Some(current) = &mut self.current {
            if !current.helped && now >= current.sent + REPEAT_AFTER {
                current.helped = true;
                let (probe, member) = (current.probe, current.member.clone());
                steps.push(ProbeStep::AskHelpers { probe, member });
            }
        }
        if now < self.next_at {
            return steps;
        }
        self.next_at = now + INTERVAL;
        steps.extend(self.current.take().map(|c| ProbeStep::Unanswered(c.member)));
        steps.extend(self.start(now, members, rng));
        steps
    }

    /// Notes an answer.
    pub fn answered(&mut self, probe: i64) {
        if self.current.as_ref().is_some_and(|c| c.probe == probe) {
            self.current = None;
        }
    }

    fn start<'a>(
        &mut self,
        now: Duration,
        members: impl Iterator<Item = &'a str>,
        rng: &mut impl Rng,
    ) -> Option<ProbeStep> {
        let members: Vec<&str> = members.collect();
        self.order.retain(|name| members.contains(&name.as_str()));
        if self.order.is_empty() {
            self.order = members.iter().map(|m| m.to_string()).collect();
            self.order.shuffle(rng);
        }
        let member = self.order.pop()?;
        self.next_probe += 1;
        let probe = self.next_probe;
        self.current = Some(Current {
            probe,
            member: member.clone(),
            sent: now,
            helped: false,
        });
        Some(ProbeStep::Ping { probe, member })
    }
}
