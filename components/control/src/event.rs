//! What goes into the control state and what comes out.

use std::time::Duration;

use membership::{Contact, EndpointSpec, Load};
use schema::messages::{Packet, Summary};
use state::{Reply, TableCall, Version};

use crate::shares::TeamLimit;

/// Which machine a table call belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallId {
    /// Reading the newest configuration.
    Head,
    /// The lease, with the number of its call.
    Lease(u32),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; `demand` holds the requests a second of each team, in thousandths.
    Tick {
        /// Team and its demand at this node.
        demand: Vec<(String, u64)>,
    },
    /// A datagram came, checked and not seen before.
    Packet(Box<Packet>),
    /// A datagram came from an older incarnation of its sender.
    OldPacket(Box<Packet>),
    /// A load reading ended; `None` says that the endpoint did not answer.
    Read(String, Option<Load>),
    /// The cloud says that an endpoint's VM is reclaimed after this time.
    Notice(String, Duration),
    /// Nodes named in the settings.
    Seeds(Vec<Contact>),
    /// The platform's whole list of nodes.
    Listed(Vec<Contact>),
    /// A table call came back.
    Table(CallId, Reply),
    /// A fetch of a configuration body ended.
    Fetched {
        /// Hash asked for.
        hash: String,
        /// The body, checked against the hash.
        body: Option<String>,
    },
    /// A configuration was put in force: its endpoints in this cell's data halls, and its teams.
    Configured {
        /// Endpoints of the cell.
        endpoints: Vec<EndpointSpec>,
        /// Teams with their limits.
        teams: Vec<TeamLimit>,
        /// Cells that the fleet may have, as far as its data halls show.
        cells: usize,
    },
    /// A configuration that was put at this node was accepted.
    Published(Version),
    /// The node stops as planned.
    Stop,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: String,
        /// The packet.
        packet: Box<Packet>,
    },
    /// Read the loads of these endpoints.
    ReadLoads(Vec<String>),
    /// Ask the cloud for reclaim notices.
    ReadNotices,
    /// Ask the cloud for its list of VMs.
    ListVms,
    /// Make a table call.
    Table(CallId, TableCall),
    /// Fetch a body from the node at this address.
    FetchFromPeer {
        /// Address of the node.
        address: String,
        /// Hash of the body.
        hash: String,
    },
    /// Fetch a body from the object store.
    FetchFromStore {
        /// Hash of the body.
        hash: String,
    },
    /// Put this configuration in force.
    Apply {
        /// Its version.
        version: Version,
        /// Its body.
        body: String,
    },
    /// Use this load of an endpoint, read this long ago.
    UseLoad(String, Load, Duration),
    /// Use what another cell reports of a pool.
    UseSummary(Summary),
    /// Give an endpoint no new work; its VM goes after this time.
    Leave(String, Duration),
    /// Give an endpoint work again: a new VM bears its name.
    Return(String),
    /// An endpoint does not answer its readers.
    Suspect(String),
    /// Use this part of a team's limits, in thousandths.
    SetPart(String, u64),
    /// The lease on the region's fleet work was gained.
    LeaseGained(i64),
    /// The lease was lost.
    LeaseLost,
}
