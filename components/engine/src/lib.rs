//! Estimates the capacity of model engines from the timing of their streams. The code does no I/O
//! and reads no clock.
//!
//! An engine works in steps. Each step generates a token for every running request and reads a part
//! of the waiting prompts. Its time is the sum of a base time, a time per running request and a
//! time per prompt token read ([`Law`]). Gateways measure the time between the events of a stream
//! ([`Sample`]) and keep moments of these samples ([`StepMoments`]). The moments of several
//! gateways can be added, so a gateway that has all reports gets the same estimate as if it had
//! observed every stream itself.

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
