//! JSON bodies of the platform; docs/interfaces.md describes them.

use serde::{Deserialize, Serialize};

/// A row as the table gives it; the value is base64.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    /// Number of writes so far.
    pub version: u64,
    /// Value.
    pub value: String,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBody {
    /// Key of the row.
    pub key: String,
    /// Version the row must have, 0 for none.
    pub expect: u64,
    /// Value in base64.
    pub value: String,
}

/// Body of `POST /transact`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactBody {
    /// Writes that all take effect or none.
    pub writes: Vec<WriteBody>,
}

/// A VM as the cloud's lagging list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name it was bought under.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Pool it serves, or `entry` for croftpond's own.
    pub pool: String,
    /// Whether it is on demand.
    pub on_demand: bool,
    /// Address other nodes reach it at.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Body of `POST /vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmOrder {
    /// Name to buy it under; the cloud refuses a second one of that name.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Pool.
    pub pool: String,
    /// Whether on demand.
    pub on_demand: bool,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Counter of the notices.
    pub sequence: u64,
    /// VM that is reclaimed.
    pub vm: String,
    /// Milliseconds left when it was answered.
    pub leaving_in_ms: u64,
}
