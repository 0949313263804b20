//! Why a call ended without its answer.

use std::fmt;

use errors::Problem;

/// A call that ended without its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// croftpond refused or failed it, and says why.
    Refused(Problem),
    /// No node answered in the tries allowed.
    Unreachable,
    /// The answer is not what the interface describes.
    Malformed,
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Refused(problem) => write!(f, "{problem}"),
            ClientError::Unreachable => {
                f.write_str("no node answered; check the addresses and that nodes are ready")
            }
            ClientError::Malformed => {
                f.write_str("the answer is malformed; check that the address is a croftpond node")
            }
        }
    }
}

impl std::error::Error for ClientError {}
