//! The members of a cell and how news of them is merged.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{MemberNews, MemberState};

/// How long a suspected member may refute before it is taken for dead.
const SUSPECT_FOR: Duration = Duration::from_secs(5);
/// How long a dead or gone member is remembered, so that old news does not bring it back.
const REMEMBER_DEAD: Duration = Duration::from_secs(60);

/// Lost members that are looked for; the platform's list names others.
const MAX_LOST: usize = 64;

/// One member as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its news.
    pub news: MemberNews,
    /// When its state changed here.
    pub since: Duration,
}

impl Member {
    /// Whether it takes part: it is alive, suspected or leaving.
    pub fn is_reachable(&self) -> bool {
        self.news.state < MemberState::DEAD
    }

    /// Whether it may be given duties.
    pub fn is_active(&self) -> bool {
        matches!(self.news.state, MemberState::ALIVE | MemberState::SUSPECT)
    }
}

/// The members of a cell, this node not included.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    // The last news of members taken for dead, until they are heard again or say that they leave.
    lost: BTreeMap<String, MemberNews>,
}

impl Members {
    /// Merges news; `true` if it changed anything. Within an incarnation the later state wins.
    pub fn merge(&mut self, now: Duration, news: &MemberNews) -> bool {
        let known = self.members.get(&news.name).map(|m| &m.news);
        let newer = known.is_none_or(|k| rank(news) > rank(k));
        if !newer {
            return false;
        }
        let member = Member {
            news: news.clone(),
            since: now,
        };
        self.members.insert(news.name.clone(), member);
        true
    }

    fn note_lost(&mut self, news: &MemberNews) {
        if news.state != MemberState::DEAD {
            self.lost.remove(&news.name);
        } else if self.lost.len() < MAX_LOST {
            self.lost.insert(news.name.clone(), news.clone());
        }
    }

    /// One of the members taken for dead.
    pub fn pick_lost(&mut self, rng: &mut impl Rng) -> Option<MemberNews> {
        let at = rng.random_range(0..self.lost.len().max(1));
        self.lost.values().nth(at).cloned()
    }

    /// Suspects a member that did not answer; returns the news to spread.
    pub fn suspect(&mut self, now: Duration, name: &str) -> Option<MemberNews> {
        let member = self.members.get_mut(name)?;
        if member.news.state != MemberState::ALIVE {
            return None;
        }
        member.news.state = MemberState::SUSPECT;
        member.since = now;
        Some(member.news.clone())
    }

    /// Takes dead members whose VM the platform does not list for gone. Returns the news to spread.
    pub fn confirm_gone(
        &mut self,
        now: Duration,
        is_listed: impl Fn(&str) -> bool,
    ) -> Vec<MemberNews> {
        let unlisted = self.lost.values().filter(|n| !is_listed(&n.name));
        let gone: Vec<MemberNews> = unlisted
            .map(|news| MemberNews {
                state: MemberState::GONE,
                ..news.clone()
            })
            .collect();
        gone.into_iter()
            .filter(|news| self.merge(now, news))
            .collect()
    }

    /// Takes members suspected for too long for dead, and forgets old dead ones. Returns the news
    /// to spread.
    pub fn expire(&mut self, now: Duration) -> Vec<MemberNews> {
        let old = |m: &Member| !m.is_active() && now.saturating_sub(m.since) > REMEMBER_DEAD;
        self.members.retain(|_, m| !old(m));
        let mut news = Vec::new();
        for member in self.members.values_mut() {
            let waited = now.saturating_sub(member.since) > SUSPECT_FOR;
            if member.news.state == MemberState::SUSPECT && waited {
                member.news.state = MemberState::DEAD;
                member.since = now;
                news.push(member.news.clone());
            }
        }
        news.iter().for_each(|n| self.note_lost(n));
        news
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

fn rank(news: &MemberNews) -> (i64, MemberState) {
    (news.incarnation, news.state)
}
