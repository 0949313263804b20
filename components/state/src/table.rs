//! Calls to the platform's transactional table and their replies.

/// Version of a row that does not exist; each write increases it.
pub const ABSENT: u64 = 0;

/// A row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Increases with each write of the row.
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

/// A call to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableCall {
    /// Read one row.
    Read(String),
    /// Write all rows, or none if any of them has another version than expected.
    Transact(Vec<Write>),
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The row that was read, if it exists.
    Row(Option<Row>),
    /// The transaction was committed.
    Committed {
        /// New version of the first row that it wrote.
        version: u64,
    },
    /// The transaction was not committed, because a row had another version than expected.
    Conflict,
    /// No answer came. A transaction may have taken effect or may still do so.
    Unanswered,
    /// The service refused the call at its rate limit. It had no effect.
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
