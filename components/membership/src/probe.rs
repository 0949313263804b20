//! Failure detector: probes one member at a time, first directly, then again and through other
//! members.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::Rng;

/// Time between two probes, in which a probe has to be answered.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered probe is repeated and other members are asked to probe.
const INDIRECT_PROBE_DELAY: Duration = Duration::from_millis(300);
/// Upper limit of members asked for an indirect probe.
pub const MAX_INDIRECT_PROBES: usize = 3;

/// What to do for a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Ping this member.
    Ping {
        /// Number of the probe.
        probe: i64,
        /// Member to ping.
        member: String,
    },
    /// Ping it again, and ask other members to ping it.
    ProbeIndirectly {
        /// Number of the probe.
        probe: i64,
        /// Member to ping.
        member: String,
    },
    /// This member did not answer in time.
    Unanswered(String),
}

#[derive(Debug)]
struct PendingProbe {
    probe: i64,
    member: String,
    sent_at: Duration,
    is_indirect: bool,
}

/// The probes made by one node.
#[derive(Debug, Default)]
pub struct Prober {
    order: Vec<String>,
    pending: Option<PendingProbe>,
    last_probe_number: i64,
    next_probe_at: Duration,
}

impl Prober {
    /// The steps due now. `members` are the names to probe, in random order, each once before any
    /// twice.
    pub fn tick<'a>(
        &mut self,
        now: Duration,
        members: impl Iterator<Item = &'a str>,
        rng: &mut impl Rng,
    ) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        if let Some(pending) = &mut self.pending {
            if !pending.is_indirect && now >= pending.sent_at + INDIRECT_PROBE_DELAY {
                pending.is_indirect = true;
                let (probe, member) = (pending.probe, pending.member.clone());
                steps.push(ProbeStep::ProbeIndirectly { probe, member });
            }
        }
        if now < self.next_probe_at {
            return steps;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        steps.extend(self.pending.take().map(|p| ProbeStep::Unanswered(p.member)));
        steps.extend(self.start_probe(now, members, rng));
        steps
    }

    /// Records the answer to a probe; answers to other probes than the current one are ignored.
    pub fn acknowledge(&mut self, probe: i64) {
        if self.pending.as_ref().is_some_and(|p| p.probe == probe) {
            self.pending = None;
        }
    }

    fn start_probe<'a>(
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
        self.last_probe_number += 1;
        let probe = self.last_probe_number;
        self.pending = Some(PendingProbe {
            probe,
            member: member.clone(),
            sent_at: now,
            is_indirect: false,
        });
        Some(ProbeStep::Ping { probe, member })
    }
}
