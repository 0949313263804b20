//! Typed configuration (routes, services, tenants) and endpoints of a gateway, route lookup, and the age of store answers.
//!
//! The crate does no I/O: rows are passed in as typed values, and time as durations on the gateway's monotonic clock.

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
