//! Prompt parts that are held back from all endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::completions::RecentCompletions;
use crate::holds::{hold_duration, NEW_HOLD_PERIOD};
use crate::part_ends::{EndSpacing, PartEnds};
use crate::Fingerprint;

/// Number of ended endpoints on a part from which it is held back.
const MIN_ENDS_TO_HOLD: usize = 3;
/// Number of separate ends of a part that ran well here lately: other causes are more likely then.
const MIN_ENDS_TO_HOLD_SOUND: usize = 5;
/// Number of separate ends from which a gateway does not retry a request with the part.
const MIN_ENDS_TO_STOP_RETRIES: usize = 2;
/// Number of trials of all gateways that may end an endpoint, until the hold is not tried again.
const MAX_FAILED_TRIALS: u32 = 3;
/// Time from the start of a hold to its first trial: requests that were sent before usually clear a sound part by then.
const FIRST_TRIAL_DELAY: Duration = Duration::from_millis(200);
/// Time in which one gateway may try a hold, before it is the next one's turn: an endpoint that a trial ends is known to all
/// gateways by then.
const TRIAL_TURN: Duration = Duration::from_millis(300);
/// In each such time of a hold, a trial may have other parts with one more end.
const SUSPICION_STEP: Duration = Duration::from_secs(2);
/// Interval of a gateway's trials of parts that ran well there lately; it does not wait for its turn.
const SOUND_TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay for callers while a trial may release the parts.
const TRIAL_RETRY: Duration = Duration::from_secs(1);
/// A hold that ends at another gateway so much earlier than here was ended on purpose.
const CLOCK_SLACK: Duration = Duration::from_secs(5);
/// Number of separate ends from which other gateways are told of a suspect part.
const MIN_ENDS_TO_REPORT: usize = 2;
/// How long a part that another gateway suspects is watched: several of its messages.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Maximum number of watched parts.
const MAX_WATCHED: usize = 256;
/// Maximum number of holds; the one that ends first is dropped.
const MAX_HOLDS: usize = 256;

/// The hold of prompt parts, as gateways report it and the store keeps it. Requests whose prompts have all of the parts are
/// sent to no endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldParts {
    /// The parts, in order.
    pub parts: Vec<Fingerprint>,
    /// Time until the hold ends; zero if it has ended.
    pub remaining: Duration,
    /// How often the parts were held back so far, 1 or more.
    pub hold_count: u32,
    /// Trials that ended an endpoint.
    pub failed_trials: u32,
}

impl HeldParts {
    /// How often the parts were held back, whether they are now, and the failed trials: what the store's copy is compared by.
    pub fn summary(&self) -> (u32, bool, u32) {
        let is_held = !self.remaining.is_zero();
        (self.hold_count, is_held, self.failed_trials)
    }
}

/// Whether a request may be sent, with regard to the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartsVerdict {
    /// No hold concerns it.
    Allowed,
    /// It is to be sent once, to find out whether the parts that are held back are sound.
    Trial,
    /// It is held back.
    Held {
        /// Time after which its caller may try again.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct PartHold {
    until: Duration,
    hold_count: u32,
    failed_trials: u32,
    changed_at: Duration,
    started_at: Duration,
    // Time of this gateway's last trial.
    tried_at: Option<Duration>,
    // Whether it ended since a part turned out to be sound.
    is_cleared: bool,
}

impl PartHold {
    fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    fn is_trial_due(&self, now: Duration, interval: Duration) -> bool {
        let last = self
            .tried_at
            .map_or(self.started_at + FIRST_TRIAL_DELAY, |at| at + interval);
        now >= last
    }

    // Whether it is a gateway's turn to try the parts, and it has not yet.
    fn has_turn(&self, now: Duration, turn: u64, gateways: u64) -> bool {
        let Some(elapsed) = now.checked_sub(self.started_at + FIRST_TRIAL_DELAY) else {
            return false;
        };
        let turns = (elapsed.as_millis() / TRIAL_TURN.as_millis()) as u64;
        self.is_trial_due(now, TRIAL_TURN) && turns % gateways.max(1) == turn % gateways.max(1)
    }

    fn end(&mut self, now: Duration) {
        self.until = self.until.min(now);
        self.changed_at = now;
        self.is_cleared = true;
    }
}

/// Suspect prompt parts and those that are held back.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    ends: PartEnds,
    holds: BTreeMap<Vec<Fingerprint>, PartHold>,
    change_count: u64,
    sound: RecentCompletions,
    // Parts that other gateways suspect, and until when they are watched.
    watched: BTreeMap<Fingerprint, Duration>,
    // Decides when it is this gateway's turn to try parts.
    turn: u64,
}

impl PartQuarantine {
    /// A quarantine of a gateway whose turns to try parts follow from this number.
    pub fn with_turn(turn: u64) -> Self {
        PartQuarantine {
            turn,
            ..PartQuarantine::default()
        }
    }

    /// Increases whenever parts begin or cease to be held back, or a trial fails.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Groups of parts that are held back now.
    pub fn held_groups(&self, now: Duration) -> impl Iterator<Item = &[Fingerprint]> {
        self.active(now).map(|(group, _)| group.as_slice())
    }

    /// Number of separate ends of endpoints on a part that no endpoint has begun to answer since.
    pub fn count_ends(&self, part: Fingerprint) -> usize {
        self.ends.count_ends(part, EndSpacing::Apart, &[])
    }

    /// Records that an endpoint ended when it could just have begun to write an answer on these parts. Returns whether it is
    /// news.
    pub fn record_end(
        &mut self,
        now: Duration,
        endpoint: u64,
        ran_for: Duration,
        parts: &[Fingerprint],
        is_trial: bool,
    ) -> bool {
        if !self.ends.record(now, endpoint, ran_for, parts) {
            return false;
        }
        if is_trial {
            self.record_failed_trial(now, parts);
        }
        self.renew_holds(now, parts);
        self.hold_suspects(now, parts);
        true
    }

    // Holds back the parts of an ended run on which enough endpoints ended. Those of the fewest requests go first: ends that
    // they explain say nothing of the parts that many requests share.
    fn hold_suspects(&mut self, now: Duration, parts: &[Fingerprint]) {
        let mut groups: Vec<_> = parts
            .iter()
            .map(|part| (*part, self.ends.inseparable(*part)))
            .collect();
        groups.sort_by_key(|(_, group)| std::cmp::Reverse(group.len()));
        for (part, group) in groups {
            let mut explanations: Vec<_> =
                self.held_groups(now).map(<[Fingerprint]>::to_vec).collect();
            let is_sound = self.sound.contains(now, part);
            explanations.retain(|explanation| is_sound || explanation.contains(&part));
            // Endpoints that end together for another reason make suspects of what many requests share, which has run well.
            let (min_ends, spacing) = match is_sound {
                true => (MIN_ENDS_TO_HOLD_SOUND, EndSpacing::Apart),
                false => (MIN_ENDS_TO_HOLD, EndSpacing::Any),
            };
            if self.ends.count_ends(part, spacing, &explanations) >= min_ends {
                self.hold(now, group);
            }
        }
    }

    /// Records that an endpoint went on after it had begun to write an answer on these parts. Returns whether one of them was
    /// suspect or held back.
    pub fn record_begun(&mut self, now: Duration, parts: &[Fingerprint]) -> bool {
        let mut is_news = false;
        for part in parts {
            self.sound.record(now, *part);
            is_news |= self.watched.remove(part).is_some();
            is_news |= self.ends.clear(*part);
            is_news |= self.release(now, *part);
        }
        is_news
    }

    /// Parts that may be held back after further ends, for the gateways that report what runs well.
    pub fn suspects(&self, max_count: usize) -> Vec<Fingerprint> {
        let mut suspects = self.ends.parts();
        suspects.retain(|part| {
            self.ends.count_ends(*part, EndSpacing::Apart, &[]) >= MIN_ENDS_TO_REPORT
        });
        suspects.truncate(max_count);
        suspects
    }

    /// Watches parts that another gateway suspects: once one runs well here, that is news.
    pub fn watch(&mut self, now: Duration, suspects: &[Fingerprint]) {
        self.watched.retain(|_, until| now < *until);
        let until = now + WATCH_TIME;
        let suspects = suspects
            .iter()
            .take(MAX_WATCHED - self.watched.len().min(MAX_WATCHED));
        self.watched.extend(suspects.map(|part| (*part, until)));
    }

    /// Whether a part is suspect or held back here, or suspect elsewhere.
    pub fn is_of_interest(&self, now: Duration, part: Fingerprint) -> bool {
        let mut active = self.active(now);
        self.watched.get(&part).is_some_and(|until| now < *until)
            || self.ends.is_suspect(part)
            || active.any(|(parts, _)| parts.contains(&part))
    }

    /// Records that a request with these parts ran well here, which is no news for the other gateways.
    pub fn record_sound(&mut self, now: Duration, parts: &[Fingerprint]) {
        for part in parts {
            self.sound.record(now, *part);
        }
    }

    /// Whether a request with these parts may be sent. Claims the trial that it grants. The gateways that may try parts, whose
    /// number is given, take turns; none if this one may not.
    pub fn check(
        &mut self,
        now: Duration,
        parts: &[Fingerprint],
        trying_gateways: Option<u64>,
    ) -> PartsVerdict {
        let Some(group) = self.find_hold(now, parts) else {
            return PartsVerdict::Allowed;
        };
        let is_in_doubt = self.is_in_doubt(&group);
        let can_try = is_in_doubt && !self.has_other_suspect(now, &group, parts);
        let was_sound = group.iter().all(|part| self.sound.contains(now, *part));
        let turn = self.turn;
        let Some(hold) = self.holds.get_mut(&group) else {
            return PartsVerdict::Allowed;
        };
        let has_turn = trying_gateways.is_some_and(|count| match was_sound {
            true => hold.is_trial_due(now, SOUND_TRIAL_INTERVAL),
            false => hold.has_turn(now, turn, count),
        });
        if can_try && has_turn {
            hold.tried_at = Some(now);
            return PartsVerdict::Trial;
        }
        let remaining = hold.until.saturating_sub(now);
        PartsVerdict::Held {
            retry_after: match is_in_doubt {
                true => remaining.min(TRIAL_RETRY),
                false => remaining,
            },
        }
    }

    /// Whether requests with these parts are held back.
    pub fn is_held(&self, now: Duration, parts: &[Fingerprint]) -> bool {
        self.find_hold(now, parts).is_some()
    }

    /// Whether a gateway may retry a request with these parts that was cut off.
    pub fn can_retry(&self, now: Duration, parts: &[Fingerprint]) -> bool {
        let stops = |part: &Fingerprint| {
            self.ends.count_ends(*part, EndSpacing::Apart, &[]) >= MIN_ENDS_TO_STOP_RETRIES
                && is_subset(&self.ends.inseparable(*part), parts)
        };
        !self.is_held(now, parts) && !parts.iter().any(stops)
    }

    /// Merges a hold that another gateway reported or the store keeps. Returns whether the parts began or ceased to be held
    /// back here.
    pub fn merge_held(&mut self, now: Duration, reported: &HeldParts) -> bool {
        let mut parts = reported.parts.clone();
        parts.sort_unstable();
        parts.dedup();
        if parts.is_empty() {
            return false;
        }
        let remaining = reported.remaining.min(hold_duration(reported.hold_count));
        let until = now + remaining;
        let was_active = self.is_active(now, &parts);
        match self.holds.get_mut(&parts) {
            Some(hold) if hold.hold_count > reported.hold_count => return false,
            Some(hold) if hold.hold_count == reported.hold_count => {
                let is_ended_early = remaining.is_zero() && now + CLOCK_SLACK < hold.until;
                hold.is_cleared |= is_ended_early;
                hold.until = hold.until.min(until);
                hold.failed_trials = hold.failed_trials.max(reported.failed_trials);
            }
            _ => {
                let hold = PartHold {
                    until,
                    hold_count: reported.hold_count.max(1),
                    failed_trials: reported.failed_trials,
                    changed_at: now,
                    started_at: now,
                    tried_at: None,
                    is_cleared: remaining.is_zero(),
                };
                self.insert(parts.clone(), hold);
            }
        }
        let has_changed = self.is_active(now, &parts) != was_active;
        self.change_count += u64::from(has_changed);
        has_changed
    }

    /// All holds, also those that have ended, as the store keeps them.
    pub fn all_held(&self, now: Duration) -> impl Iterator<Item = HeldParts> + '_ {
        let holds = self.holds.iter();
        holds.map(move |(parts, hold)| held_of(now, parts, hold))
    }

    /// At most `max_count` holds to report to other gateways: the new ones, then the rest, from a different position at each
    /// `turn`.
    pub fn held_to_report(&self, now: Duration, turn: usize, max_count: usize) -> Vec<HeldParts> {
        let is_new = |hold: &PartHold| now < hold.changed_at + NEW_HOLD_PERIOD;
        let (new, rest): (Vec<_>, Vec<_>) = self.holds.iter().partition(|(_, hold)| is_new(hold));
        let offset = (turn * max_count)
            .checked_rem(rest.len())
            .unwrap_or_default();
        let rest = rest.iter().cycle().skip(offset).take(rest.len());
        let all = new.iter().chain(rest).take(max_count);
        all.map(|(parts, hold)| held_of(now, parts, hold)).collect()
    }

    fn active(&self, now: Duration) -> impl Iterator<Item = (&Vec<Fingerprint>, &PartHold)> {
        let holds = self.holds.iter();
        holds.filter(move |(_, hold)| hold.is_active(now))
    }

    fn is_active(&self, now: Duration, parts: &[Fingerprint]) -> bool {
        let hold = self.holds.get(parts);
        hold.is_some_and(|hold| hold.is_active(now))
    }

    fn find_hold(&self, now: Duration, parts: &[Fingerprint]) -> Option<Vec<Fingerprint>> {
        let mut active = self.active(now);
        let found = active.find(|(group, _)| is_subset(group, parts));
        found.map(|(group, _)| group.clone())
    }

    // Whether another part of a request is the more likely one to end an endpoint, so that a trial with it would say nothing of
    // the group. The longer the group is held back, the likelier such a part may be.
    fn has_other_suspect(
        &self,
        now: Duration,
        group: &[Fingerprint],
        parts: &[Fingerprint],
    ) -> bool {
        let held_for = self
            .holds
            .get(group)
            .map_or(Duration::ZERO, |hold| now.saturating_sub(hold.started_at));
        let steps = held_for.as_millis() / SUSPICION_STEP.as_millis();
        let is_suspect = |part: &Fingerprint| {
            !group.contains(part)
                && !self.sound.contains(now, *part)
                && self.ends.count_ends(*part, EndSpacing::Apart, &[]) as u128 > steps
        };
        let is_other_hold = |(other, _): (&Vec<Fingerprint>, _)| {
            is_subset(other, parts) && !is_subset(group, other)
        };
        parts.iter().any(is_suspect) || self.active(now).any(is_other_hold)
    }

    // Whether parts that are held back may be sound, and a trial may find out.
    fn is_in_doubt(&self, group: &[Fingerprint]) -> bool {
        let hold = self.holds.get(group);
        hold.is_some_and(|hold| hold.failed_trials < MAX_FAILED_TRIALS)
            && self.ends.has_other_suspects(group)
    }

    fn record_failed_trial(&mut self, now: Duration, parts: &[Fingerprint]) {
        for (group, hold) in &mut self.holds {
            if hold.is_active(now) && is_subset(group, parts) {
                hold.failed_trials += 1;
                hold.changed_at = now;
                self.change_count += 1;
            }
        }
    }

    // Parts whose hold ran out, and that end another endpoint, are held back again at once.
    fn renew_holds(&mut self, now: Duration, parts: &[Fingerprint]) {
        let has_run_out = |hold: &PartHold| !hold.is_active(now) && !hold.is_cleared;
        let groups = self.holds.iter();
        let renewed: Vec<_> = groups
            .filter(|(group, hold)| has_run_out(hold) && is_subset(group, parts))
            .map(|(group, _)| group.clone())
            .collect();
        for group in renewed {
            self.hold(now, group);
        }
    }

    fn hold(&mut self, now: Duration, group: Vec<Fingerprint>) {
        if group.is_empty() || self.is_held(now, &group) {
            return;
        }
        self.change_count += 1;
        // The narrower group explains what wider ones did.
        for (wider, hold) in &mut self.holds {
            if hold.is_active(now) && is_subset(&group, wider) {
                hold.end(now);
            }
        }
        let earlier = self.holds.get(&group);
        let hold_count = earlier.map_or(0, |hold| hold.hold_count) + 1;
        let duration = match earlier.is_some_and(|hold| !hold.is_cleared) {
            true => hold_duration(hold_count),
            false => hold_duration(1),
        };
        let hold = PartHold {
            until: now + duration,
            hold_count,
            failed_trials: 0,
            changed_at: now,
            started_at: now,
            tried_at: None,
            is_cleared: false,
        };
        self.insert(group, hold);
    }

    // Ends the holds with a part that turned out to be sound; their other parts stay held back.
    fn release(&mut self, now: Duration, part: Fingerprint) -> bool {
        let active = self.active(now);
        let released: Vec<_> = active
            .filter(|(group, _)| group.contains(&part))
            .map(|(group, hold)| (group.clone(), hold.clone()))
            .collect();
        for (group, hold) in &released {
            if let Some(hold) = self.holds.get_mut(group) {
                hold.end(now);
            }
            let mut rest = group.clone();
            rest.retain(|other| *other != part);
            if rest.is_empty() || self.is_held(now, &rest) {
                continue;
            }
            let hold_count = self.holds.get(&rest).map_or(0, |hold| hold.hold_count) + 1;
            let narrowed = PartHold {
                hold_count,
                changed_at: now,
                ..hold.clone()
            };
            self.insert(rest, narrowed);
        }
        self.change_count += released.len() as u64;
        !released.is_empty()
    }

    fn insert(&mut self, group: Vec<Fingerprint>, hold: PartHold) {
        self.holds.insert(group, hold);
        if self.holds.len() > MAX_HOLDS {
            let first = self.holds.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(group) = first.map(|(group, _)| group.clone()) {
                self.holds.remove(&group);
            }
        }
    }
}

fn is_subset(group: &[Fingerprint], parts: &[Fingerprint]) -> bool {
    group.iter().all(|part| parts.contains(part))
}

fn held_of(now: Duration, parts: &[Fingerprint], hold: &PartHold) -> HeldParts {
    HeldParts {
        parts: parts.to_vec(),
        remaining: hold.until.saturating_sub(now),
        hold_count: hold.hold_count,
        failed_trials: hold.failed_trials,
    }
}
