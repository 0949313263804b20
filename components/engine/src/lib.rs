//! What model engines can bear, learnt from the streams that they make. Pure.
//!
//! An engine works in steps: one makes a token for each request that runs and reads a piece of the prompts that
//! wait. A step takes a base, a part for each running request and the time of what it reads ([`Law`]). Gateways see
//! how long the events of a stream take ([`Sample`]) and add up what they see ([`StepMoments`]); sums of several gateways
//! are added in turn, so whoever has the reports of all knows the law as if it had seen every stream itself.

mod fit;
mod law;
mod learner;
mod pace_histogram;
mod peer_reports;
mod step_moments;

pub use fit::LawEstimate;
pub use law::Law;
pub use learner::{EngineStats, Learner};
pub use pace_histogram::PaceHistogram;
pub use peer_reports::PeerReports;
pub use step_moments::{Sample, StepMoments, MOMENT_COUNT};
