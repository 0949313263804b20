//! What a replay showed, and whether that is what the trace states.

use std::fmt;

use crate::trace::Expect;

/// Figures of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassReport {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests answered whole whose first part came after the target.
    pub past_target: u64,
    /// Requests answered whole within the target.
    pub in_target: u64,
}

/// Figures of one replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Figures by class: interactive, standard, batch.
    pub classes: [ClassReport; 3],
    /// Accepted requests without their whole answer, except those whose outcome is reported as unknown.
    pub lost: u64,
    /// Non-repeatable requests reported as "outcome unknown".
    pub unknown: u64,
    /// Parts that came twice, out of order or from another answer.
    pub wrong_parts: u64,
    /// Non-repeatable requests that ran more than once.
    pub run_twice: u64,
    /// Requests called not run that ran.
    pub false_not_run: u64,
    /// Work begun on an endpoint more than three seconds after its notice.
    pub late_starts: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Tokens prefilled although some endpoint had computed them before.
    pub recomputed: u64,
    /// Streams moved.
    pub moves: u64,
    /// Cost of the VMs held, in thousandths.
    pub cost_milli: u64,
}

impl Report {
    /// Requests that arrived.
    pub fn requests(&self) -> u64 {
        self.classes.iter().map(|c| c.requests).sum()
    }

    /// Requests answered whole within their target.
    pub fn in_target(&self) -> u64 {
        self.classes.iter().map(|c| c.in_target).sum()
    }

    /// Cost of the VMs for a thousand requests that met their target, in thousandths.
    pub fn cost_per_thousand(&self) -> u64 {
        self.cost_milli * 1000 / self.in_target().max(1)
    }

    /// Attempts for a thousand requests.
    pub fn attempts_milli(&self) -> u64 {
        self.attempts * 1000 / self.requests().max(1)
    }

    /// The stated outcomes that were missed.
    pub fn misses(&self, expect: &Expect) -> Vec<String> {
        let mut misses = Vec::new();
        let mut check = |name: &str, most: Option<u64>, was: u64| {
            if most.is_some_and(|most| was > most) {
                misses.push(format!(
                    "{name} is {was}, stated at most {}",
                    most.unwrap_or(0)
                ));
            }
        };
        check("lost", expect.lost, self.lost);
        check("wrong_parts", expect.wrong_parts, self.wrong_parts);
        check("run_twice", expect.run_twice, self.run_twice);
        check("false_not_run", expect.false_not_run, self.false_not_run);
        check("late_starts", expect.late_starts, self.late_starts);
        check(
            "attempts_milli",
            expect.attempts_milli,
            self.attempts_milli(),
        );
        for (n, class) in self.classes.iter().enumerate() {
            let milli = |count: u64| count * 1000 / class.requests.max(1);
            let past = expect.past_target_milli.map(|m| m[n]);
            check(
                &format!("past_target_milli of class {n}"),
                past,
                milli(class.past_target),
            );
            let refused = expect.refused_milli.map(|m| m[n]);
            check(
                &format!("refused_milli of class {n}"),
                refused,
                milli(class.refused),
            );
        }
        misses
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests {}, in target {}",
            self.requests(),
            self.in_target()
        )?;
        for (name, c) in ["interactive", "standard", "batch"]
            .iter()
            .zip(&self.classes)
        {
            writeln!(
                f,
                "  {name}: {} requests, {} past target, {} refused",
                c.requests, c.past_target, c.refused
            )?;
        }
        writeln!(
            f,
            "lost {}, outcome unknown {}, wrong parts {}, run twice {}, falsely not run {}, late starts {}",
            self.lost, self.unknown, self.wrong_parts, self.run_twice, self.false_not_run, self.late_starts
        )?;
        writeln!(
            f,
            "attempts {} ({} for a thousand), moves {}, tokens prefilled {}, recomputed {}",
            self.attempts,
            self.attempts_milli(),
            self.moves,
            self.prefilled,
            self.recomputed
        )?;
        writeln!(
            f,
            "cost for a thousand requests in target: {}",
            self.cost_per_thousand()
        )
    }
}
