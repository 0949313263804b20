//! One gateway: the daemon between callers and endpoints as a library.
//!
//! A traffic thread serves callers; a control thread follows the store, exchanges gossip with the
//! other gateways and carries out the duties of the lease. The two pass typed values over flume.
//! What is spoken on the wire comes from a [`ports::Dialect`], a [`ports::Store`] and
//! [`ports::Orders`]; nothing here knows their names.

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
