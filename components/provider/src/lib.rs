//! Clients of the platform: table, object store, cloud API and VM list, each behind a trait.

mod cloud;
mod http;
mod objects;
mod table;
mod wire;

pub use cloud::{Cloud, HttpCloud};
pub use objects::{body_hash, HttpObjectStore, ObjectStore};
pub use table::{HttpTable, Table};
pub use wire::{ReclaimNotice, RowBody, TransactBody, Vm, VmOrder, WriteBody};
