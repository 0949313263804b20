//! The members of a cell, and how gossip about them is merged.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{MemberGossip, MemberState};

/// How long a suspect member may refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a leaving, dead or gone member is remembered, so that stale gossip does not add it
/// again.
const INACTIVE_RETENTION: Duration = Duration::from_secs(60);

/// Upper limit of lost members that are pinged to find them again. Members beyond it can still be
/// found through the platform's VM list.
const MAX_LOST_MEMBERS: usize = 64;

/// One member as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its newest gossip.
    pub gossip: MemberGossip,
    /// When its state or incarnation last changed here.
    pub since: Duration,
}

impl Member {
    /// Whether it still takes part in the cell: alive, suspect or leaving.
    pub fn is_reachable(&self) -> bool {
        self.gossip.state < MemberState::DEAD
    }

    /// Whether it may be given duties: alive or suspect.
    pub fn is_active(&self) -> bool {
        matches!(self.gossip.state, MemberState::ALIVE | MemberState::SUSPECT)
    }
}

/// The members of a cell, this node not included.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    // Gossip of members that this node declared dead.
    lost: BTreeMap<String, MemberGossip>,
}

impl Members {
    /// Merges gossip; `true` if it changed anything. The higher incarnation wins, and within an
    /// incarnation the later state in the order of `MemberState`.
    pub fn merge(&mut self, now: Duration, gossip: &MemberGossip) -> bool {
        let known = self.members.get(&gossip.name).map(|m| &m.gossip);
        let is_newer = known.is_none_or(|k| precedence(gossip) > precedence(k));
        if !is_newer {
            return false;
        }
        let member = Member {
            gossip: gossip.clone(),
            since: now,
        };
        self.members.insert(gossip.name.clone(), member);
        true
    }

    fn update_lost(&mut self, gossip: &MemberGossip) {
        if gossip.state != MemberState::DEAD {
            self.lost.remove(&gossip.name);
        } else if self.lost.len() < MAX_LOST_MEMBERS {
            self.lost.insert(gossip.name.clone(), gossip.clone());
        }
    }

    /// A random member that this node declared dead.
    pub fn random_lost(&mut self, rng: &mut impl Rng) -> Option<MemberGossip> {
        let index = rng.random_range(0..self.lost.len().max(1));
        self.lost.values().nth(index).cloned()
    }

    /// Marks a member that did not answer a probe as suspect. Returns the gossip to spread, or
    /// `None` if the member is not alive.
    pub fn suspect(&mut self, now: Duration, name: &str) -> Option<MemberGossip> {
        let member = self.members.get_mut(name)?;
        if member.gossip.state != MemberState::ALIVE {
            return None;
        }
        member.gossip.state = MemberState::SUSPECT;
        member.since = now;
        Some(member.gossip.clone())
    }

    /// Marks lost members as gone if the platform does not list their VM. Returns the gossip to
    /// spread.
    pub fn confirm_gone(
        &mut self,
        now: Duration,
        is_listed: impl Fn(&str) -> bool,
    ) -> Vec<MemberGossip> {
        let unlisted = self.lost.values().filter(|g| !is_listed(&g.name));
        let gone: Vec<MemberGossip> = unlisted
            .map(|gossip| MemberGossip {
                state: MemberState::GONE,
                ..gossip.clone()
            })
            .collect();
        gone.into_iter()
            .filter(|gossip| self.merge(now, gossip))
            .collect()
    }

    /// Declares members dead whose suspicion timed out, and forgets members that have been inactive
    /// for longer than `INACTIVE_RETENTION`. Returns the gossip to spread.
    pub fn expire(&mut self, now: Duration) -> Vec<MemberGossip> {
        let is_expired =
            |m: &Member| !m.is_active() && now.saturating_sub(m.since) > INACTIVE_RETENTION;
        self.members.retain(|_, m| !is_expired(m));
        let mut gossip = Vec::new();
        for member in self.members.values_mut() {
            let has_timed_out = now.saturating_sub(member.since) > SUSPICION_TIMEOUT;
            if member.gossip.state == MemberState::SUSPECT && has_timed_out {
                member.gossip.state = MemberState::DEAD;
                member.since = now;
                gossip.push(member.gossip.clone());
            }
        }
        gossip.iter().for_each(|g| self.update_lost(g));
        gossip
    }

    /// A member by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that still take part in the cell.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.is_reachable())
    }

    /// Members that may be given duties.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.is_active())
    }
}

fn precedence(gossip: &MemberGossip) -> (i64, MemberState) {
    (gossip.incarnation, gossip.state)
}
