//! Admission control: priority classes, fleet-wide rate limits, retry budgets, and budgets for the
//! links between regions.
//!
//! No I/O and no clock: the caller passes the time in. A request that is refused by a limit or shed
//! is told when to retry.

mod admission;
mod bucket;
mod budget;
mod equal_share;
mod link;
mod quota;
mod retry_budget;
mod send_account;
mod send_rate;
mod shared_quota;
mod team;

pub use admission::{AdmissionDecision, AdmissionQueue, Waiter};
pub use bucket::TokenBucket;
pub use budget::AttemptBudget;
pub use equal_share::EqualShare;
pub use link::{link_part_bytes_per_s, Decider, LinkBudget};
pub use quota::{PeerDemand, QuotaPart, MIN_EQUAL_PART_MILLI};
pub use retry_budget::{RetryBudget, RetryBudgetState, RetryTerms};
pub use send_account::{SendAccounts, SendTerms, MAX_SEND_ACCOUNTS};
pub use send_rate::SendRate;
pub use shared_quota::{QuotaState, RateLimit, SharedQuota};
pub use team::{LimitExceeded, TeamLimits, TeamMeter};
