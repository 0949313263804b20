//! One gateway, the daemon between callers and endpoints, as a library.
//!
//! A traffic thread serves callers. A control thread follows the store, exchanges gossip with the other
//! gateways and performs the duties of the lease holder. The two exchange typed values over flume channels.
//! The wire formats come from implementations of [`ports::Dialect`], [`ports::Store`] and [`ports::Orders`];
//! this crate contains no header or row names.

mod admission;
mod alone;
mod answer;
mod answer_notices;
mod attempt;
mod attempts;
mod body;
mod caller;
mod clock;
mod connecting;
mod contents;
mod control;
mod cut;
mod decisions;
mod endpoint_run;
mod events;
mod freshness;
mod gather;
mod gossip;
mod handler;
mod held;
mod job;
mod limit_reports;
mod link_parts;
pub mod listing;
mod peers;
mod placing;
mod pool;
pub mod ports;
mod replies;
mod room;
mod run;
mod sends;
mod server;
mod sights;
mod simple_http;
mod state;
mod stream;
mod tally;
mod traffic;
mod update;
mod versions;
mod wall_clock;

pub use alone::Alone;
pub use clock::Clock;
pub use control::{inflate, round_trip, Echoes, Encoded, LastDeflated};
pub use events::{Event, EventSplitter, SplitError};
pub use freshness::Freshness;
pub use link_parts::link_parts;
pub use peers::{
    is_recent, AccountKeeper, Fleet, Greeting, HallCount, Listed, PeerCount, Peers, Receipt,
};
pub use run::{run, Gateway, GatewayError, Listening, Parts, ReadSettings, Signals};
pub use wall_clock::{WallClockEstimate, WallClockReading};
