//! Who may run now: priority classes, team limits held fleet-wide, and retry budgets.
//!
//! Pure: time comes in as a value. A refusal always says when to come back.

mod bucket;
mod budget;
mod gate;
mod link;
mod quota;
mod repeats;
mod send_account;
mod send_rate;
mod shared_quota;
mod team;

pub use bucket::TokenBucket;
pub use budget::AttemptBudget;
pub use gate::{AdmissionDecision, AdmissionQueue, Waiter};
pub use link::{link_part_bytes_per_s, Decider, LinkBudget};
pub use quota::{PeerDemand, QuotaPart, MIN_EQUAL_PART_MILLI};
pub use repeats::{RetryBudget, RetryTerms};
pub use send_account::{SendAccounts, SendTerms, MAX_SEND_ACCOUNTS};
pub use send_rate::SendRate;
pub use shared_quota::{QuotaState, RateLimit, SharedQuota};
pub use team::{LimitExceeded, TeamLimits, TeamMeter};
