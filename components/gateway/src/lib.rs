//! One gateway: the daemon between callers and endpoints as a library.
//!
//! A traffic thread serves callers; a control thread follows the store, exchanges gossip with the
//! other gateways and carries out the duties of the lease. The two pass typed values over flume.
//! What is spoken on the wire comes from a [`ports::Dialect`], a [`ports::Store`] and
//! [`ports::Orders`]; nothing here knows their names.

mod admission;
mod alone;
mod answer;
mod attempt;
mod attempts;
mod body;
mod caller;
mod clock;
mod connecting;
mod contents;
mod control;
mod cut;
mod day;
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
mod plain;
mod pool;
pub mod ports;
mod replies;
mod room;
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

pub use alone::Alone;
pub use clock::Clock;
pub use control::{inflate, round_trip, DeflatedReplyCache, Echoes, EncodedReply};
pub use day::{Day, DayLook};
pub use events::{Event, EventSplitter, SplitError};
pub use freshness::Freshness;
pub use link_parts::link_parts;
pub use peers::{
    has_started_recently, AccountKeeper, GatewayFleet, HallCount, ListedGateway, PeerCount,
    PeerStatus, Peers, Receipt,
};
pub use run::{run, Gateway, GatewayError, Listening, Parts, ReadSettings, Signals};
