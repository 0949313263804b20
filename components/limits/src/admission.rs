//! Admission by priority class: under load, lower classes are queued first and shed first.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use schema::settings::Priority;

/// Utilization of a pool, in thousandths, from which requests of a class are queued; by class, the most urgent first.
const MIN_UTILIZATION_TO_WAIT_MILLI: [u64; 3] = [1300, 950, 850];
/// Utilization, in thousandths, from which a request that cannot run at once is shed, also if its queue has room; by
/// class.
const MIN_UTILIZATION_TO_SHED_MILLI: [u64; 3] = [2500, 1500, 1200];
/// Utilization, in thousandths, from which a running batch request is preempted for a queued one of a higher class.
const MIN_UTILIZATION_TO_PREEMPT_MILLI: u64 = 1000;
/// Requests that one node queues for one pool, by class.
const MAX_QUEUED: [usize; 3] = [128, 64, 64];
/// Time after which a shed request may be retried, by class.
const RETRY_AFTER: [Duration; 3] = [
    Duration::from_millis(250),
    Duration::from_secs(1),
    Duration::from_secs(5),
];

/// Outcome of a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run now.
    Run,
    /// Queued; [`AdmissionQueue::admit_next`] returns it once it may run.
    Wait,
    /// Shed; may be retried after this time.
    Shed(Duration),
}

/// A queued request, ordered by class, then by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiter {
    /// Its priority class.
    pub priority: Priority,
    /// Its deadline, on this node's clock.
    pub deadline: Duration,
    /// Its number, unique at this node.
    pub id: u64,
}

/// The requests that one node queues for one pool.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: BTreeSet<Waiter>,
}

impl AdmissionQueue {
    /// Decides on a new request at a pool utilization in thousandths, and queues it if it has to wait.
    pub fn admit(&mut self, waiter: Waiter, utilization_milli: u64) -> AdmissionDecision {
        let class = class_index(waiter.priority);
        let has_others_ahead = self.waiting.iter().any(|w| w.priority <= waiter.priority);
        if utilization_milli < MIN_UTILIZATION_TO_WAIT_MILLI[class] && !has_others_ahead {
            return AdmissionDecision::Run;
        }
        let queued = self
            .waiting
            .iter()
            .filter(|w| w.priority == waiter.priority)
            .count();
        if utilization_milli >= MIN_UTILIZATION_TO_SHED_MILLI[class] || queued >= MAX_QUEUED[class]
        {
            return AdmissionDecision::Shed(RETRY_AFTER[class]);
        }
        self.waiting.insert(waiter);
        AdmissionDecision::Wait
    }

    /// Removes and returns the first queued request if its class may run at this utilization, in thousandths.
    pub fn admit_next(&mut self, utilization_milli: u64) -> Option<Waiter> {
        let first = *self.waiting.first()?;
        if utilization_milli >= MIN_UTILIZATION_TO_WAIT_MILLI[class_index(first.priority)] {
            return None;
        }
        self.waiting.remove(&first);
        Some(first)
    }

    /// Removes a request that no longer waits; left in the queue, it would block those behind it.
    pub fn remove(&mut self, id: u64) {
        self.waiting.retain(|w| w.id != id);
    }

    /// Which of the running requests, given as `(class, id, started)`, to preempt: the batch request
    /// that started last, if a request of a higher class is queued.
    pub fn preemption_victim(
        &self,
        running: &[(Priority, u64, Duration)],
        utilization_milli: u64,
    ) -> Option<u64> {
        let has_urgent_waiter = self
            .waiting
            .first()
            .is_some_and(|w| w.priority < Priority::BATCH);
        if !has_urgent_waiter || utilization_milli < MIN_UTILIZATION_TO_PREEMPT_MILLI {
            return None;
        }
        let batch = running
            .iter()
            .filter(|(priority, ..)| *priority == Priority::BATCH);
        batch
            .min_by_key(|(_, _, started)| Reverse(*started))
            .map(|(_, id, _)| *id)
    }

    /// Number of queued requests.
    pub fn queue_depth(&self) -> usize {
        self.waiting.len()
    }
}

fn class_index(priority: Priority) -> usize {
    priority.0.clamp(0, 2) as usize
}
