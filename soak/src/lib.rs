//! A fault soak: real gateways as processes, faults from outside, and checks of what clients,
//! endpoints, the store and the taker of reports saw. How to run and read it: docs/soak.md.

pub mod checks;
mod gateways;
mod history;
mod http;
mod link;
mod plan;
mod report;
mod run;
mod standins;

pub use gateways::Programs;
pub use history::{Body, History, Kind, Lack, Place, Record, Seen};
pub use plan::{Act, Plan, Step};
pub use report::Report;
pub use run::{run, Options};
