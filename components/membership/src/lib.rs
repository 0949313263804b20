//! Cell membership and gossip between nodes, as a state machine without I/O or clocks.
//!
//! A cell is a data hall, or the whole of a small fleet. Nodes of one cell know each other and the
//! load of every endpoint; cells exchange one summary per pool. Each node probes one member per
//! second, first directly and then through other members, so the cost of failure detection per node
//! does not grow with the fleet.

mod cell;
mod contacts;
mod dissemination;
mod endpoints;
mod members;
mod packets;
mod probe;
mod summaries;

pub use cell::{Cell, NodeIdentity, Output};
pub use contacts::Contact;
pub use endpoints::{EndpointSpec, Load};
pub use members::Member;
