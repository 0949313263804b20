//! The members of a cell and how gossip of them is merged.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{MemberGossip, MemberState};

/// How long a suspected member may refute before it is taken for dead.
const SUSPECT_FOR: Duration = Duration::from_secs(5);
/// How long a dead or gone member is remembered, so that old gossip does not bring it back.
const REMEMBER_DEAD: Duration = Duration::from_secs(60);

/// Lost members that are looked for; the platform's list names others.
const MAX_LOST: usize = 64;

/// One member as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its gossip.
    pub gossip: MemberGossip,
    /// When its state changed here.
    pub since: Duration,
}

impl Member {
    /// Whether it takes part: it is alive, suspected or leaving.
    pub fn is_reachable(&self) -> bool {
        self.gossip.state < MemberState::DEAD
    }

    /// Whether it may be given duties.
    pub fn is_active(&self) -> bool {
        matches!(self.gossip.state, MemberState::ALIVE | MemberState::SUSPECT)
    }
}

/// The members of a cell, this node not included.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    // The last gossip of members taken for dead, until they are heard again or say that they leave.
    lost: BTreeMap<String, MemberGossip>,
}

impl Members {
    /// Merges gossip; `true` if it changed anything. Within an incarnation the later state wins.
    pub fn merge(&mut self, now: Duration, gossip: &MemberGossip) -> bool {
        let known = self.members.get(&gossip.name).map(|m| &m.gossip);
        let newer = known.is_none_or(|k| rank(gossip) > rank(k));
        if !newer {
            return false;
        }
        let member = Member {
            gossip: gossip.clone(),
            since: now,
        };
        self.members.insert(gossip.name.clone(), member);
        true
    }

    fn note_lost(&mut self, gossip: &MemberGossip) {
        if gossip.state != MemberState::DEAD {
            self.lost.remove(&gossip.name);
        } else if self.lost.len() < MAX_LOST {
            self.lost.insert(gossip.name.clone(), gossip.clone());
        }
    }

    /// One of the members taken for dead.
    pub fn pick_lost(&mut self, rng: &mut impl Rng) -> Option<MemberGossip> {
        let at = rng.random_range(0..self.lost.len().max(1));
        self.lost.values().nth(at).cloned()
    }

    /// Suspects a member that did not answer; returns the gossip to spread.
    pub fn suspect(&mut self, now: Duration, name: &str) -> Option<MemberGossip> {
        let member = self.members.get_mut(name)?;
        if member.gossip.state != MemberState::ALIVE {
            return None;
        }
        member.gossip.state = MemberState::SUSPECT;
        member.since = now;
        Some(member.gossip.clone())
    }

    /// Takes dead members whose VM the platform does not list for gone. Returns the gossip to spread.
    pub fn confirm_gone(
        &mut self,
        now: Duration,
        is_listed: impl Fn(&str) -> bool,
    ) -> Vec<MemberGossip> {
        let unlisted = self.lost.values().filter(|n| !is_listed(&n.name));
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

    /// Takes members suspected for too long for dead, and forgets old dead ones. Returns the gossip
    /// to spread.
    pub fn expire(&mut self, now: Duration) -> Vec<MemberGossip> {
        let old = |m: &Member| !m.is_active() && now.saturating_sub(m.since) > REMEMBER_DEAD;
        self.members.retain(|_, m| !old(m));
        let mut gossip = Vec::new();
        for member in self.members.values_mut() {
            let waited = now.saturating_sub(member.since) > SUSPECT_FOR;
            if member.gossip.state == MemberState::SUSPECT && waited {
                member.gossip.state = MemberState::DEAD;
                member.since = now;
                gossip.push(member.gossip.clone());
            }
        }
        gossip.iter().for_each(|n| self.note_lost(n));
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

    /// Members that take part.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.is_reachable())
    }

    /// Members that may be given duties.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.is_active())
    }
}

fn rank(gossip: &MemberGossip) -> (i64, MemberState) {
    (gossip.incarnation, gossip.state)
}
