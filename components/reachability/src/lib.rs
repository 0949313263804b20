//! Which endpoints a gateway reaches over its own network paths, and through which other gateways it reaches the
//! rest. Does no I/O; times are those of the caller's clock.

mod paths;
mod placed;
mod relays;

pub use paths::Paths;
pub use placed::PlacedEndpoints;
pub use relays::Relays;
