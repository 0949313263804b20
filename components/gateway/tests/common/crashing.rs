//! A fake endpoint that one request crashes, with all other requests on it.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use super::endpoint::read_head;

/// A request for this path crashes the endpoint that runs it.
pub const POISON_PATH: &str = "/a/poison";
/// A request for this path is never answered.
pub const HANGING_PATH: &str = "/a/hanging";

#[derive(Default)]
struct State {
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    paths: Mutex<Vec<String>>,
}

/// An endpoint that answers everything but [`POISON_PATH`] and [`HANGING_PATH`].
#[derive(Clone)]
pub struct CrashingEndpoint {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl CrashingEndpoint {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let crashing = CrashingEndpoint {
            address,
            state: Arc::default(),
        };
        let server = crashing.clone();
        thread::spawn(move || server.listen(listener));
        crashing
    }

    pub fn has_stopped(&self) -> bool {
        self.state.stopped.load(Ordering::SeqCst)
    }

    /// Paths of all requests received so far.
    pub fn paths(&self) -> Vec<String> {
        self.state.paths.lock().unwrap().clone()
    }

    /// Stops the endpoint: its listener and all connections close.
    pub fn stop(&self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        // Wakes the listening thread, which then closes the listener.
        drop(TcpStream::connect(self.address));
    }

    // Closes the listener before the open connections, so that new connections are refused first, as when a process ends.
    fn listen(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_stopped() {
                break;
            }
            self.state
                .connections
                .lock()
                .unwrap()
                .push(stream.try_clone().unwrap());
            let server = self.clone();
            thread::spawn(move || server.serve(stream));
        }
        drop(listener);
        for stream in self.state.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            let path = head.split(' ').nth(1).unwrap_or_default().to_string();
            self.state.paths.lock().unwrap().push(path.clone());
            match path.as_str() {
                POISON_PATH => self.stop(),
                HANGING_PATH => {}
                _ => answer(&mut stream, &head),
            }
        }
    }
}

fn answer(stream: &mut TcpStream, head: &str) {
    let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
    let id = id.unwrap_or_default();
    let text =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 1\r\n\r\nx");
    let _ = stream.write_all(text.as_bytes());
}
