//! A fake endpoint that one request crashes, with all other requests on it.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use super::endpoint::read_head;

/// A request for this path crashes the endpoint that runs it.
pub const POISON_PATH: &str = "/a/poison";
/// An endpoint crashes when it begins to write the answer of a request whose prompt has one of these parts, as in `x-parts`.
pub const DEADLY_PART: &str = "dead";
pub const OTHER_DEADLY_PART: &str = "dea2";
/// A request for this path gets a whole answer with neither a length nor chunks.
pub const UNMARKED_PATH: &str = "/a/unmarked";
/// A request for this path is never answered.
pub const HANGING_PATH: &str = "/a/hanging";

/// What an endpoint writes of the answer to a request with a deadly part before it crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LastWords {
    #[default]
    Nothing,
    /// The head of an answer with neither a length nor chunks.
    UnmarkedHead,
    /// That head and a part of the body.
    UnmarkedBody,
    /// That head and one event.
    UnmarkedEvent,
}

/// Body of a sound answer with neither a length nor chunks.
pub const UNMARKED_BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[derive(Default)]
struct State {
    last_words: LastWords,
    stopped: AtomicBool,
    deadly_requests: AtomicUsize,
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
        Self::start_with(LastWords::Nothing)
    }

    /// Starts an endpoint that writes `last_words` before it crashes.
    pub fn start_with(last_words: LastWords) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let crashing = CrashingEndpoint {
            address,
            state: Arc::new(State {
                last_words,
                ..State::default()
            }),
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

    /// Number of requests with a deadly part received so far.
    pub fn deadly_requests(&self) -> usize {
        self.state.deadly_requests.load(Ordering::SeqCst)
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
            match path.split('?').next().unwrap_or_default() {
                _ if has_deadly_part(&head) => {
                    self.state.deadly_requests.fetch_add(1, Ordering::SeqCst);
                    let _ = stream.write_all(self.last_words(&head).as_bytes());
                    self.stop();
                }
                POISON_PATH => self.stop(),
                HANGING_PATH => {}
                UNMARKED_PATH => {
                    let text = unmarked_head(&head) + UNMARKED_BODY;
                    let _ = stream.write_all(text.as_bytes());
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                _ => answer(&mut stream, &head),
            }
        }
    }

    fn last_words(&self, head: &str) -> String {
        match self.state.last_words {
            LastWords::Nothing => String::new(),
            LastWords::UnmarkedHead => unmarked_head(head),
            LastWords::UnmarkedBody => unmarked_head(head) + &UNMARKED_BODY[..20],
            LastWords::UnmarkedEvent => unmarked_head(head) + "id: 1\ndata: a\n\n",
        }
    }
}

fn has_deadly_part(head: &str) -> bool {
    let parts = head.lines().find_map(|line| line.strip_prefix("x-parts: "));
    let is_deadly = |part| [DEADLY_PART, OTHER_DEADLY_PART].contains(&part);
    parts.is_some_and(|parts| parts.split(',').any(is_deadly))
}

fn id_of(head: &str) -> &str {
    let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
    id.unwrap_or_default()
}

// Head of a signed answer with neither a length nor chunks.
fn unmarked_head(head: &str) -> String {
    let id = id_of(head);
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nconnection: close\r\n\r\n")
}

fn answer(stream: &mut TcpStream, head: &str) {
    let id = id_of(head);
    let text =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 1\r\n\r\nx");
    let _ = stream.write_all(text.as_bytes());
}
