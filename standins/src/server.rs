//! The HTTP server that every stand-in runs on: a thread a request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tiny_http::{Request, Response, Server};
use transport::SocketTimeouts;

const TIMEOUT: Duration = Duration::from_secs(30);

/// A running stand-in; it stops when dropped.
pub struct Standin {
    server: Arc<Server>,
    address: SocketAddr,
}

impl Standin {
    /// Serves `handle` on a free port of the loopback address.
    pub fn start(handle: impl Fn(Request) + Send + Sync + 'static) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let bounds = SocketTimeouts {
            read_timeout: TIMEOUT,
            write_timeout: TIMEOUT,
        };
        let listener = transport::bind_http(any, bounds)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let handle = Arc::new(handle);
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(request) = accepting.recv() {
                let handle = Arc::clone(&handle);
                thread::spawn(move || handle(request));
            }
        });
        Ok(Standin { server, address })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

/// Answers with a status and a body; a caller that is gone is no matter.
pub(crate) fn answer(request: Request, status: u16, body: String) {
    let _ = request.respond(Response::from_string(body).with_status_code(status));
}

/// Reads the whole body.
pub(crate) fn body_of(request: &mut Request) -> String {
    let mut body = String::new();
    let _ = request.as_reader().read_to_string(&mut body);
    body
}

/// The value of a query parameter, as it stands in the URL.
pub(crate) fn parameter(url: &str, name: &str) -> Option<String> {
    let query = url.split_once('?')?.1;
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
    Some(value.replace("%2F", "/").replace("%2f", "/"))
}
