//! State machines for agreement between nodes through the platform's transactional table. They do no I/O: events come in,
//! actions come out.
//!
//! Claims make a non-repeatable request run at most once, leases with fencing epochs give fleet work to one holder at a
//! time, and configuration versions only increase. A table call may take effect although its answer is lost, and may take
//! effect late. Every state machine resolves such a call by reading back the unique id of its own write.

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
