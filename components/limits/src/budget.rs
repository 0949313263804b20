//! A budget for extra attempts, earned by successes, so that retries cannot make a storm.

/// Thousandths of an attempt.
const MILLI: u64 = 1000;

/// Attempts that may be made beyond the first ones.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    earned_milli: u64,
    per_success_milli: u64,
    most_milli: u64,
}

impl AttemptBudget {
    /// A budget that starts with `most` attempts and earns `per_success_milli` thousandths of one
    /// with each success.
    pub fn new(most: u64, per_success_milli: u64) -> Self {
        AttemptBudget {
            earned_milli: most * MILLI,
            per_success_milli,
            most_milli: most * MILLI,
        }
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        self.earned_milli = (self.earned_milli + self.per_success_milli).min(self.most_milli);
    }

    /// Takes one attempt if the budget has one.
    pub fn try_spend(&mut self) -> bool {
        if self.earned_milli < MILLI {
            return false;
        }
        self.earned_milli -= MILLI;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempts_stay_within_the_share_of_successes() {
        let mut budget = AttemptBudget::new(10, 100);
        let mut spent = 0;
        for _ in 0..1000 {
            budget.record_success();
            spent += u64::from(budget.try_spend()) + u64::from(budget.try_spend());
        }
        assert!(spent <= 10 + 100, "{spent}");
    }
}
