//! Updates from the control thread to the traffic thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use directory::{Configuration, Endpoint};
use notices::LimitNotice;
use quarantine::{Fingerprint, Held, HeldParts, Observation};
use rollout::{Order, Stage};
use routing::placement::{PeerDispatch, Sight};
use schema::settings::GatewaySettings;

use crate::peers::GatewayFleet;

/// One change of the state that the traffic thread decides from.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// A configuration to apply.
    Configuration(Arc<Configuration>),
    /// The last configuration was still the newest at this time, on the own clock.
    Confirmed(Duration),
    /// An endpoint's newest record.
    Endpoint(Endpoint),
    /// The endpoint with this id is gone.
    EndpointGone(String),
    /// All endpoints have been passed once.
    EndpointsKnown,
    /// The endpoints that were passed were the newest at this time, on the own clock.
    EndpointsConfirmed(Duration),
    /// The endpoints are no longer followed.
    EndpointsForgotten,
    /// The known gateways, and which of them decide.
    Fleet(GatewayFleet),
    /// Requests that another gateway sent.
    PeerDispatches(Vec<PeerDispatch>),
    /// Sights that another gateway reported.
    PeerSights(Vec<Sight>),
    /// Limits that endpoints stated, or no longer state, to another gateway.
    PeerLimits(Vec<LimitNotice>),
    /// Units that teams used at another gateway since its start.
    PeerTaken {
        /// Name of the gateway.
        gateway: String,
        /// Incarnation of its process.
        incarnation: i64,
        /// Totals by team.
        taken: BTreeMap<String, u64>,
        /// Whether all of it was used recently.
        recent: bool,
    },
    /// Round trip of a message to a hall and its echo.
    RoundTripMeasured { hall: String, round_trip: Duration },
    /// Other gateways saw endpoints end while they ran requests, or go on.
    Observations(Vec<Observation>),
    /// Contents that other gateways or the store put into quarantine, or release from it.
    Held(Vec<Held>),
    /// Prompt parts that other gateways or the store put into quarantine, or release from it.
    HeldParts(Vec<HeldParts>),
    /// Prompt parts that another gateway suspects.
    SuspectParts(Vec<Fingerprint>),
    /// New settings.
    Settings(Arc<GatewaySettings>),
    /// A roll-out was ordered.
    RolloutOrdered {
        order: Order,
        /// Whether the order was there when this process started.
        predates_process: bool,
    },
    /// The order of a service was rewritten in a restored store under another revision.
    RolloutRenumbered {
        service: String,
        /// New revision of its order.
        revision: u64,
    },
    /// The order of this service was withdrawn.
    RolloutWithdrawn(String),
    /// The lease holder reported the stage of a roll-out.
    RolloutStage {
        service: String,
        /// Revision of its order.
        revision: u64,
        stage: Stage,
        /// Time of the report, on the own clock.
        at: Duration,
    },
}
