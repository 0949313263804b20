//! Revisions of a store that may be restored from an older copy.

use std::fmt;

/// A revision of the store. Numbers increase within an era. A restore from an older copy begins a new era, which may
/// reuse numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number of the transaction within the era.
    pub number: u64,
}

impl Revision {
    /// Revision of a row that does not exist.
    pub const ABSENT: Revision = Revision { era: 0, number: 0 };

    /// Creates a revision.
    pub fn new(era: u64, number: u64) -> Self {
        Revision { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
