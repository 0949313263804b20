//! JSON bodies of the platform; docs/interfaces.md describes them.

use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    /// Version: number of writes to the row.
    pub version: u64,
    /// Value in base64.
    pub value: String,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBody {
    /// Key of the row.
    pub key: String,
    /// Expected version of the row; 0 if the row must not exist.
    pub expect: u64,
    /// Value in base64.
    pub value: String,
}

/// Body of `POST /transact`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactBody {
    /// Writes, applied atomically.
    pub writes: Vec<WriteBody>,
}

/// A VM in the list of the cloud, which lags behind the real state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name that the VM was bought under.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Pool that it serves, or `entry` for VMs of croftpond itself.
    pub pool: String,
    /// Whether it is on demand, as opposed to reclaimable.
    pub on_demand: bool,
    /// Address at which other nodes reach it.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Body of `POST /vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmOrder {
    /// Name to buy it under; the cloud refuses a second VM of that name.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Pool.
    pub pool: String,
    /// Whether to buy it on demand.
    pub on_demand: bool,
}

/// A reclaim notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Sequence number of the notice.
    pub sequence: u64,
    /// Name of the reclaimed VM.
    pub vm: String,
    /// Milliseconds until the VM is reclaimed, counted from the cloud's answer.
    pub leaving_in_ms: u64,
}
