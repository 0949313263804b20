//! One gateway: the daemon between callers and endpoints as a library.
//!
//! A traffic thread serves callers; a control thread follows the store, exchanges gossip with the
//! other gateways and carries out the duties of the lease. The two pass typed values over flume.
//! What is spoken on the wire comes from a [`ports::Dialect`], a [`ports::Store`] and
//! [`ports::Orders`]; nothing here knows their names.

mod admission;
mod answer;
mod attempt;
mod body;
mod buffers;
mod caller;
mod clock;
mod connecting;
mod connection_pool;
mod control;
mod coordinator_contact;
mod day;
mod decisions;
mod endpoint_run;
mod events;
mod freshness;
mod gather;
mod gossip;
mod handler;
mod interrupted;
mod job;
mod limit_reports;
mod link_parts;
pub mod listing;
mod memory_manager;
mod peers;
mod pending_replies;
mod placing;
mod plain;
pub mod ports;
mod request_quarantine;
mod retry;
mod run;
mod said;
mod sends;
mod server;
mod sights;
mod state;
mod stream;
mod tally;
mod traffic;
mod update;
mod versions;

pub use clock::Clock;
pub use control::{inflate, round_trip, Echoes, Encoded, LastDeflated};
pub use coordinator_contact::CoordinatorContact;
pub use day::{Day, DayLook};
pub use events::{Event, EventSplitter, SplitError};
pub use freshness::Freshness;
pub use link_parts::link_parts;
pub use peers::{
    is_recent, AccountKeeper, Fleet, Greeting, HallCount, Listed, PeerCount, Peers, Receipt,
};
pub use run::{run, Gateway, GatewayError, Listening, Parts, ReadSettings, Signals};
