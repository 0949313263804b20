//! What a run came to.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::checks::{Finding, Verdicts};
use crate::history::{Record, Seen};
use crate::plan::Plan;

/// Findings of one check that the table shows.
const SHOWN: usize = 5;

/// Figures and findings of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the plan.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Gateways.
    pub gateways: usize,
    /// Requests sent.
    pub sent: usize,
    /// Answers by status.
    pub answers: BTreeMap<u16, usize>,
    /// Requests without an answer, by cause.
    pub unanswered: BTreeMap<String, usize>,
    /// Requests begun at endpoints.
    pub begun: usize,
    /// Reports taken.
    pub reports: usize,
    /// Starts of gateways.
    pub starts: usize,
    /// Largest memory of a gateway's last process, in kB.
    pub peak_kb: u64,
    /// What the checks came to.
    pub verdicts: Verdicts,
}

impl Report {
    /// Counts what was seen.
    pub fn new(plan: &Plan, records: &[Record], verdicts: Verdicts, peak_kb: u64) -> Self {
        let mut report = Report {
            seed: plan.seed,
            seconds: plan.seconds,
            gateways: plan.gateways,
            sent: 0,
            answers: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            begun: 0,
            reports: 0,
            starts: 0,
            peak_kb,
            verdicts,
        };
        for record in records {
            match &record.seen {
                Seen::Sent { .. } => report.sent += 1,
                Seen::Answered { status, .. } => *report.answers.entry(*status).or_default() += 1,
                Seen::Unanswered { why, .. } => {
                    *report.unanswered.entry(format!("{why:?}")).or_default() += 1;
                }
                Seen::Began { .. } => report.begun += 1,
                Seen::Reported { .. } => report.reports += 1,
                Seen::Started { .. } => report.starts += 1,
                _ => {}
            }
        }
        report
    }

    /// Whether no rule was broken.
    pub fn is_sound(&self) -> bool {
        self.verdicts.findings.is_empty()
    }

    /// The report as one line of JSON.
    pub fn to_json(&self) -> String {
        // Numbers and texts can always be written.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, .. } = self;
        let verdict = match self.is_sound() {
            true => "sound",
            false => "BROKEN",
        };
        writeln!(f, "seed {seed}: {verdict}")?;
        writeln!(f, "  sent {}, begun {}", self.sent, self.begun)?;
        writeln!(
            f,
            "  answers {:?}, none {:?}",
            self.answers, self.unanswered
        )?;
        writeln!(
            f,
            "  reports {}, starts {}, peak {} kB",
            self.reports, self.starts, self.peak_kb
        )?;
        writeln!(f, "  judged {:?}", self.verdicts.judged)?;
        let mut by_check: BTreeMap<&str, Vec<&Finding>> = BTreeMap::new();
        for finding in &self.verdicts.findings {
            by_check.entry(finding.check).or_default().push(finding);
        }
        for (check, findings) in by_check {
            writeln!(f, "  {check}: {}", findings.len())?;
            for finding in findings.iter().take(SHOWN) {
                writeln!(f, "    {:>6} ms  {}", finding.at, finding.what)?;
            }
        }
        Ok(())
    }
}
