//! Calls of the platform's transactional table, as values.

/// Version of a row that does not exist; every write makes it higher.
pub const ABSENT: u64 = 0;

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Grows with each write of the row.
    pub version: u64,
    /// Encoded value.
    pub value: Vec<u8>,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have for the transaction to commit.
    pub expect: u64,
    /// Encoded value.
    pub value: Vec<u8>,
}

/// A call of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableCall {
    /// Read one row.
    Read(String),
    /// Write all rows, or none if any of them has another version than expected.
    Transact(Vec<Write>),
}

/// How a call came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The row that was read, if it exists.
    Row(Option<Row>),
    /// The transaction is committed.
    Committed {
        /// Version that the first of its rows has now.
        version: u64,
    },
    /// The transaction is not committed: a row had another version.
    Conflict,
    /// No answer came: a transaction may have taken effect, or may yet.
    Unanswered,
    /// The service refused the call (its rate limit); it took no effect.
    Refused,
}

/// Key of the row that names the newest configuration.
pub fn head_key() -> String {
    "config/head".to_string()
}

/// Key of the row that keeps one configuration version.
pub fn history_key(version: i64) -> String {
    format!("config/version/{version:010}")
}
