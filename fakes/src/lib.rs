//! Fakes in virtual time for property tests and benchmarks: a table, a wire, and a fleet of
//! control states joined by both. No sockets, threads or clocks; every run is seeded.

mod fleet;
mod property;
mod table;
mod wire;

pub use fleet::{load, CoreFleet, FleetTerms, Peer, Traffic};
pub use property::{check, SEED};
pub use table::{FakeTable, Faults, CALM, ROUGH};
pub use wire::Wire;
