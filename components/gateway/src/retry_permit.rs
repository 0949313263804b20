//! A retry that was taken from a retry budget, until it arrived or can no longer arrive.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use limits::RetryBudget;

use crate::clock::Clock;

/// The retry budget of one service.
pub(crate) type SharedRetryBudget = Rc<RefCell<RetryBudget>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermitState {
    Unsent,
    Sent,
    Settled,
}

/// Permission for one send of a retry. Dropping it returns the retry to the budget if it was not sent.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    budget: SharedRetryBudget,
    clock: Clock,
    state: Cell<PermitState>,
}

impl RetryPermit {
    /// A permit for a retry that was just taken from the budget.
    pub fn new(budget: &SharedRetryBudget, clock: Clock) -> Self {
        RetryPermit {
            budget: Rc::clone(budget),
            clock,
            state: Cell::new(PermitState::Unsent),
        }
    }

    /// Records that the request is about to be sent.
    pub fn record_sent(&self) {
        self.state.set(PermitState::Sent);
    }

    /// Records that no part of the request was sent after all.
    pub fn record_not_sent(&self) {
        self.state.set(PermitState::Unsent);
    }

    /// Records that the endpoint received the request.
    pub fn record_arrived(&self) {
        if self.state.replace(PermitState::Settled) == PermitState::Sent {
            self.budget.borrow_mut().settle(self.clock.now());
        }
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        match self.state.get() {
            PermitState::Unsent => self.budget.borrow_mut().cancel(),
            // The connection of an abandoned attempt was reset, so the request can no longer arrive.
            PermitState::Sent => self.budget.borrow_mut().settle(self.clock.now()),
            PermitState::Settled => {}
        }
    }
}
