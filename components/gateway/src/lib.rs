//! One gateway, the daemon between callers and endpoints, as a library.
//!
//! A traffic thread serves callers. A control thread follows the store, exchanges gossip with the other
//! gateways and performs the duties of the lease holder. The two exchange typed values over flume channels.
//! The wire formats come from implementations of [`ports::Dialect`], [`ports::Store`] and [`ports::Orders`];
//! this crate contains no header or row names.

mod admission;
mod answer;
mod answer_notices;
mod attempt;
mod body;
mod buffers;
mod caller;
mod clock;
mod connecting;
mod connection_pool;
mod control;
mod coordinator_contact;
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
mod path_watch;
mod peers;
mod pending_replies;
mod placing;
pub mod ports;
mod record_age;
mod relay;
mod request_quarantine;
mod retry;
mod retry_permit;
mod run;
mod sends;
mod server;
mod sights;
mod simple_http;
mod state;
mod stream;
mod stream_origins;
mod tally;
mod traffic;
mod turns;
mod update;
mod versions;
mod wall_clock;

pub use clock::Clock;
pub use control::{inflate, round_trip, DeflatedReplyCache, Echoes, EncodedReply};
pub use coordinator_contact::CoordinatorContact;
pub use events::{Event, EventSplitter, SplitError};
pub use freshness::Freshness;
pub use link_parts::link_parts;
pub use peers::{
    has_started_recently, AccountKeeper, GatewayFleet, HallCount, ListedGateway, PeerCount,
    PeerStatus, Peers, Receipt,
};
pub use record_age::RecordAge;
pub use run::{run, Gateway, GatewayError, Listening, Parts, ReadSettings, Signals};
pub use turns::{Turn, MAX_TURN_STEPS};
pub use wall_clock::{WallClockEstimate, WallClockReading};
