//! What must be agreed or kept, as pure state machines over the platform's table.
//!
//! Claims make a non-repeatable request run at most once, leases and fences keep fleet work to
//! one holder, and versions put one configuration in force that never goes back. A table call may
//! take effect though its answer is lost, and it may take effect late: every machine settles such
//! a call by reading back the unique id of its own write.

mod claim;
mod configuration;
mod lease;
mod publish;
mod table;

pub use claim::{Claim, ClaimAction, ClaimEvent, ClaimRequest, StoredOutcome};
pub use configuration::{ConfigAction, ConfigEvent, ConfigFollower, Version};
pub use lease::{Lease, LeaseAction, LeaseEvent, LeaseHead, LeaseTerms};
pub use publish::{Publish, PublishAction, PublishEvent, PublishOutcome, PublishRequest};
pub use table::{head_key, history_key, Reply, Row, TableCall, Write, ABSENT};
