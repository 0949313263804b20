//! Which nodes live, and what they report to each other, as a pure state machine.
//!
//! Nodes of one cell (a data hall, or the whole of a small fleet) know each other and every load;
//! cells exchange one summary a pool. Each node probes one member a second, directly and then
//! through others, so the cost of membership does not grow with the fleet.

mod cell;
mod contacts;
mod endpoints;
mod members;
mod packets;
mod probe;
mod rumors;
mod summaries;

pub use cell::{Cell, NodeIdentity, Output};
pub use contacts::Contact;
pub use endpoints::{EndpointSpec, Load};
pub use members::Member;
