//! What model engines can bear, learnt from the streams that they make. Pure.
//!
//! An engine works in steps: one makes a token for each request that runs and reads a piece of the prompts that
//! wait. A step takes a base, a part for each running request and the time of what it reads ([`Law`]). Gateways see
//! how long the events of a stream take ([`Sample`]) and add up what they see ([`Sums`]); sums of several gateways
//! are added in turn, so whoever has the reports of all knows the law as if it had seen every stream itself.

mod allowed;
mod fit;
mod law;
mod learner;
mod reports;
mod sums;

pub use allowed::AllowedPaces;
pub use fit::Estimate;
pub use law::Law;
pub use learner::{Learner, Learnt};
pub use reports::Reports;
pub use sums::{Sample, Sums, MOMENTS};
