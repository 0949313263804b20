//! The paths of one gateway to the endpoints, which a test can cut.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use transport::{Dialer, Target};

/// How connects to endpoints end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// They succeed.
    Open,
    /// They get no answer.
    Unanswered,
    /// They are refused at once.
    Refused,
}

/// State of the paths of one gateway to all endpoints. Connections that are open go on.
#[derive(Clone, Debug)]
pub struct EndpointPaths {
    state: Arc<Mutex<PathState>>,
    closed_port: SocketAddr,
}

impl Default for EndpointPaths {
    fn default() -> Self {
        // Nothing listens on the port once the listener is dropped.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        EndpointPaths {
            state: Arc::new(Mutex::new(PathState::Open)),
            closed_port: listener.local_addr().unwrap(),
        }
    }
}

impl EndpointPaths {
    pub fn set(&self, state: PathState) {
        *self.state.lock().unwrap() = state;
    }

    /// A dialer that follows the state.
    pub fn dialer(&self) -> Dialer {
        let paths = self.clone();
        Dialer::redirected(move |address| match *paths.state.lock().unwrap() {
            PathState::Open => Target::Address(address),
            PathState::Unanswered => Target::Unanswered,
            PathState::Refused => Target::Address(paths.closed_port),
        })
    }
}
