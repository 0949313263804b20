//! A budget for extra attempts (retries and hedges) that grows with successful requests, so that
//! failures cannot cause a retry storm.

/// Thousandths in one attempt.
const MILLI: u64 = 1000;

/// Attempts that may be made in addition to the first attempt of each request.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    balance_milli: u64,
    per_success_milli: u64,
    max_milli: u64,
}

impl AttemptBudget {
    /// A budget that starts with `max_attempts` attempts, holds at most as many, and gains
    /// `per_success_milli` thousandths of an attempt with each success.
    pub fn new(max_attempts: u64, per_success_milli: u64) -> Self {
        AttemptBudget {
            balance_milli: max_attempts * MILLI,
            per_success_milli,
            max_milli: max_attempts * MILLI,
        }
    }

    /// Adds the credit for a successful request.
    pub fn record_success(&mut self) {
        self.balance_milli = (self.balance_milli + self.per_success_milli).min(self.max_milli);
    }

    /// Takes one attempt from the budget. Returns false if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        if self.balance_milli < MILLI {
            return false;
        }
        self.balance_milli -= MILLI;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn extra_attempts_stay_within_the_configured_part_of_successes() {
        let mut budget = AttemptBudget::new(10, 100);
        let mut spent = 0;
        for _ in 0..1000 {
            budget.record_success();
            spent += u64::from(budget.try_spend()) + u64::from(budget.try_spend());
        }
        assert!(spent <= 10 + 100, "{spent}");
    }
}
