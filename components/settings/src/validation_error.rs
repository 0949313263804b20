//! Validation errors of a settings file.

use std::fmt;

/// One error in a settings file, with its location and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Line number, counted from 1. A missing key has the line of its section, or 0 if the section
    /// is missing too.
    pub line: usize,
    /// Section and key, such as `team crews: rate`; only the section if no key is concerned.
    pub location: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

/// All validation errors of one file; `Display` writes one line for each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationErrors {
    /// Name of the file.
    pub file: String,
    /// The errors, sorted by line.
    pub errors: Vec<ValidationError>,
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.errors {
            writeln!(
                f,
                "{}:{}: [{}] {}; remedy: {}",
                self.file, error.line, error.location, error.message, error.remedy
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}
