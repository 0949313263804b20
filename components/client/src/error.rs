//! Errors of client calls.

use std::fmt;

use errors::Problem;

/// Error of a call that ended without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// croftpond refused the request or failed to complete it; the problem holds the cause.
    Refused(Problem),
    /// No node answered within the allowed attempts.
    Unreachable,
    /// The answer does not follow the interface.
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
