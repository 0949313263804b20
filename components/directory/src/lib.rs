//! What a gateway knows of routes, services, tenants and endpoints, and how fresh that is.
//!
//! Pure: rows come in as typed values, time as durations on the gateway's monotonic clock.

mod configuration;
mod endpoint;
mod explanation;
mod lookup;
mod store_clock;

pub use configuration::{
    CallerBounds, Configuration, Engine, Execution, Quota, Route, Scaling, Service, Share, Tenant,
};
pub use endpoint::{Endpoint, EndpointState};
pub use explanation::{Explanation, NoRouteReason, RouteExplanation, ServiceShare};
pub use lookup::{Directory, Lookup};
pub use store_clock::StoreClock;
