//! Admission by priority class: under load the lower class waits, then is shed, first.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use schema::settings::Priority;

/// Utilization of a pool, in thousandths, from which a class waits.
const WAIT_FROM_MILLI: [u64; 3] = [1300, 950, 850];
/// Utilization from which a class is shed when it also finds a full queue.
const SHED_FROM_MILLI: [u64; 3] = [2500, 1500, 1200];
/// Utilization from which running batch work is moved out of the way of a waiting request.
const YIELD_FROM_MILLI: u64 = 1000;
/// Requests that wait at one node for one pool, by class.
const MAX_WAITING: [usize; 3] = [128, 64, 64];
/// Time to come back after being shed, by class.
const RETRY_AFTER: [Duration; 3] = [
    Duration::from_millis(250),
    Duration::from_secs(1),
    Duration::from_secs(5),
];

/// Answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run now.
    Run,
    /// Wait; [`AdmissionQueue::admit_next`] names the waiter when its time has come.
    Wait,
    /// Shed; come back after this time.
    Shed(Duration),
}

/// A request that waits, ordered by class, then by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter {
    /// Its class.
    pub priority: Priority,
    /// Its deadline.
    pub deadline: Duration,
    /// Its number at this node.
    pub id: u64,
}

/// The gate of one pool at one node.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: BTreeSet<Waiter>,
}

impl AdmissionQueue {
    /// Asks for admission at a pool utilization given in thousandths.
    pub fn admit(&mut self, waiter: Waiter, utilization_milli: u64) -> AdmissionDecision {
        let class = class_of(waiter.priority);
        let behind = self.waiting.iter().any(|w| w.priority <= waiter.priority);
        if utilization_milli < WAIT_FROM_MILLI[class] && !behind {
            return AdmissionDecision::Run;
        }
        let queued = self
            .waiting
            .iter()
            .filter(|w| w.priority == waiter.priority)
            .count();
        if utilization_milli >= SHED_FROM_MILLI[class] || queued >= MAX_WAITING[class] {
            return AdmissionDecision::Shed(RETRY_AFTER[class]);
        }
        self.waiting.insert(waiter);
        AdmissionDecision::Wait
    }

    /// The next waiter that may run at this utilization, the most urgent first.
    pub fn admit_next(&mut self, utilization_milli: u64) -> Option<Waiter> {
        let first = *self.waiting.first()?;
        if utilization_milli >= WAIT_FROM_MILLI[class_of(first.priority)] {
            return None;
        }
        self.waiting.remove(&first);
        Some(first)
    }

    /// Takes out a waiter that is gone: it must not hold up those behind it.
    pub fn remove(&mut self, id: u64) {
        self.waiting.retain(|w| w.id != id);
    }

    /// Which of the running requests, given as `(class, id, started)`, should yield its slot:
    /// the batch request started last, if a request above batch waits.
    pub fn preemption_victim(
        &self,
        running: &[(Priority, u64, Duration)],
        utilization_milli: u64,
    ) -> Option<u64> {
        let urgent = self
            .waiting
            .first()
            .is_some_and(|w| w.priority < Priority::BATCH);
        if !urgent || utilization_milli < YIELD_FROM_MILLI {
            return None;
        }
        let batch = running
            .iter()
            .filter(|(priority, ..)| *priority == Priority::BATCH);
        batch
            .min_by_key(|(_, _, started)| Reverse(*started))
            .map(|(_, id, _)| *id)
    }

    /// Requests that wait.
    pub fn queue_depth(&self) -> usize {
        self.waiting.len()
    }
}

fn class_of(priority: Priority) -> usize {
    priority.0.clamp(0, 2) as usize
}
