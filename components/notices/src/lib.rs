//! Notices that endpoints give in their answers to this gateway: that they are leaving, that they ask for a pause, how
//! many requests per second they accept, or how many they can turn away.
//!
//! A notice applies to the endpoint process that gave it. It is stored under the start (incarnation) of the endpoint, so
//! it survives connections, the endpoint's record and lists of endpoints, and ends with the process.

mod notices;

pub use notices::{Availability, LimitNotice, Notices};
