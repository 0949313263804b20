//! Faults of a settings file.

use std::fmt;

/// One fault, with the line it stands on and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line in the file, from 1; 0 when the fault is an absence.
    pub line: usize,
    /// Section and key, such as `team crews: rate`.
    pub place: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

/// All faults of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// Name of the file.
    pub file: String,
    /// The faults, by line.
    pub list: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.list {
            writeln!(
                f,
                "{}:{}: [{}] {}; remedy: {}",
                self.file, fault.line, fault.place, fault.message, fault.remedy
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
