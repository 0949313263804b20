//! What the control thread passes to the traffic thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Endpoint};
use notices::LimitNotice;
use quarantine::{Held, Observation};
use rollout::{Order, Stage};
use routing::placement::{PeerDispatch, Sight};
use schema::settings::GatewaySettings;

use crate::peers::GatewayFleet;

/// One change of what the traffic thread decides from.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// A configuration is in force.
    Configuration(Arc<Configuration>),
    /// The configuration that was passed last was the newest at this time, on the own clock.
    Confirmed(Duration),
    /// An endpoint's newest record.
    Endpoint(Endpoint),
    /// An endpoint is gone.
    EndpointGone(String),
    /// All endpoints were reported once.
    EndpointsKnown,
    /// The endpoints are not followed any more.
    EndpointsForgotten,
    /// The gateways as they are known now, and who of them decides.
    Fleet(GatewayFleet),
    /// Another gateway sent these.
    PeerSent(Vec<PeerDispatch>),
    /// Answers showed another gateway these.
    PeerSaw(Vec<Sight>),
    /// Endpoints named these limits to another gateway, or none any more.
    PeerHeardLimits(Vec<LimitNotice>),
    /// Units that teams took at another gateway since its start.
    PeerTaken {
        /// Its name.
        gateway: String,
        /// Start of its process.
        incarnation: i64,
        /// Totals by team.
        taken: BTreeMap<String, u64>,
        /// Whether all of it was taken in recent time.
        recent: bool,
    },
    /// A message to a hall and its echo took so long.
    WayMeasured {
        /// The hall.
        hall: String,
        /// Time there and back.
        round_trip: Duration,
    },
    /// Other gateways saw endpoints end under these contents, or run them to their end.
    Observations(Vec<Observation>),
    /// Other gateways, or the store, hold these contents back or let them go.
    Held(Vec<Held>),
    /// The settings changed.
    Settings(Arc<GatewaySettings>),
    /// A roll-out was ordered.
    RolloutOrdered(Order),
    /// The order of a service was rewritten in a restored store under another revision.
    RolloutRenumbered {
        /// The service.
        service: String,
        /// New revision of its order.
        revision: u64,
    },
    /// The order of a service was withdrawn.
    RolloutWithdrawn(String),
    /// The holder said how far a roll-out is.
    RolloutStage {
        /// Its service.
        service: String,
        /// Revision of its order.
        revision: u64,
        /// How far it is.
        stage: Stage,
        /// When the holder said so, on the own clock.
        at: Duration,
    },
}
