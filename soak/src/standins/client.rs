//! Clients: they keep a connection until it is closed; some read slowly, some leave.

use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use platform::names;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deadly::COMMON_PART;
use super::endpoint::events_of;
use super::operator::{HOST, LIMITED_KEY, STEADY_KEY};
use super::{body_of, hash};
use crate::history::{Body, History, Kind, Lack, Seen};
use crate::http::{Connection, Head};

/// Time a client gives a request, in ms.
const DEADLINE_MS: u64 = 4_000;
/// A client waits so much longer than that.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// A new connection is given so long.
const CONNECT: Duration = Duration::from_secs(1);
/// A slow client reads such pieces with such pauses.
const SLOW_PIECE: usize = 32 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(25);
/// A client that leaves does so after up to so many times this, some before their request is read.
const LEAVE_AFTER: Duration = Duration::from_millis(25);
const MAX_LEAVE_TIMES: u64 = 8;
/// What half of the clients that leave have sent of a next request.
const NEXT_REQUEST: &[u8] = b"GET /rep/next HTTP/1.1\r\n";
/// One in so many resumable streams loses its client's connection.
const LOST_CONNECTIONS: u64 = 3;
/// A client continues a broken stream at most this often.
const MAX_CONTINUATIONS: u32 = 3;
/// Bytes of a large request.
const LARGE: usize = 200_000;

/// Stands for no gateway in [`Shared::most_reached`].
pub(crate) const NO_GATEWAY: usize = usize::MAX;
/// Of ten new connections, so many go to the gateway that most reach; clients then keep one connection in so many.
const REACHING: u32 = 9;
const KEPT: u32 = 3;

/// What all clients know.
pub(crate) struct Shared {
    pub history: History,
    /// Addresses of the gateways.
    pub gateways: Vec<SocketAddr>,
    /// Which of them said that they are ready.
    pub ready: Mutex<Vec<bool>>,
    /// The newest configuration that the store took.
    pub newest: AtomicU64,
    /// The gateway that most new connections reach, or [`NO_GATEWAY`].
    pub most_reached: AtomicUsize,
    /// The run is over.
    pub over: AtomicBool,
}

/// One client.
pub(crate) struct Client {
    number: usize,
    made: u64,
    reads_slowly: bool,
    /// The only gateway that it calls; else any that takes clients.
    only: Option<usize>,
    rng: ChaCha8Rng,
    shared: Arc<Shared>,
    connection: Option<(usize, Connection)>,
    // A stream that broke, which the client continues next.
    broken: Option<BrokenStream>,
}

/// A stream that broke before its end.
struct BrokenStream {
    first: String,
    path: String,
    after: u64,
    tries: u32,
}

struct Asking {
    id: String,
    /// The request that brought the first event of the stream; itself, unless it continues one.
    first: String,
    kind: Kind,
    text: Vec<u8>,
    leaves: bool,
    /// Chunks of a stream after which the client loses its connection.
    loses_connection_after: Option<usize>,
}

impl Client {
    /// A client that draws from a seed of its own.
    pub fn new(number: usize, only: Option<usize>, seed: u64, shared: &Arc<Shared>) -> Self {
        Client {
            number,
            made: 0,
            only,
            reads_slowly: number % 6 == 5,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (number as u64) << 32),
            shared: Arc::clone(shared),
            connection: None,
            broken: None,
        }
    }

    /// Sends requests until the run is over.
    pub fn run(mut self) {
        while !self.shared.over.load(Ordering::Relaxed) {
            if self.broken.is_none() {
                let pause = self.rng.random_range(10..90);
                thread::sleep(Duration::from_millis(pause));
            }
            self.ask();
        }
    }

    fn ask(&mut self) {
        let Some((gateway, mut connection)) = self.connected() else {
            return;
        };
        let broken = self.broken.take();
        let asking = match &broken {
            Some(broken) => self.continue_stream(gateway, broken),
            None => self.draw(gateway),
        };
        let id = asking.id.clone();
        if connection.send(&asking.text).is_err() {
            return self.none(id, Lack::Closed);
        }
        if asking.leaves {
            return self.leave(id, &mut connection);
        }
        let head = match connection.head() {
            Ok(head) => head,
            Err(error) => return self.none(id, lack(error.kind())),
        };
        let body = self.body(&mut connection, &head, &asking);
        self.keep_if_broken(&asking, broken, &body);
        let stays = body != Body::Cut && !head.closes();
        let ended = !matches!(body, Body::Events { ended: false, .. });
        self.shared.history.note(Seen::Answered {
            id,
            status: head.word(1).parse().unwrap_or(0),
            of: head.field(names::ATTEMPT_ID).map(str::to_string),
            signed: head.field(names::SIGNATURE).is_some(),
            body,
        });
        if stays && ended {
            self.connection = Some((gateway, connection));
        }
    }

    // Drawn from the id, so that leaving does not change what a seed draws next.
    fn leave(&self, id: String, connection: &mut Connection) {
        let drawn = hash(&id);
        if drawn.is_multiple_of(2) && connection.send(NEXT_REQUEST).is_err() {
            return self.none(id, Lack::Closed);
        }
        let times = drawn / 2 % MAX_LEAVE_TIMES;
        thread::sleep(LEAVE_AFTER * times as u32);
        self.none(id, Lack::Left);
    }

    fn none(&self, id: String, why: Lack) {
        self.shared.history.note(Seen::Unanswered { id, why });
    }

    // The kept connection, if it is as it was left, or a new one.
    fn connected(&mut self) -> Option<(usize, Connection)> {
        let most_reached = self.shared.most_reached.load(Ordering::SeqCst);
        let is_concentrated = most_reached != NO_GATEWAY;
        if is_concentrated && !self.rng.random_ratio(1, KEPT) {
            self.connection = None;
        }
        if let Some((gateway, connection)) = self.connection.take() {
            match rests(&connection) {
                Resting::Quiet => return Some((gateway, connection)),
                Resting::Bytes => self.shared.history.note(Seen::Stray { gateway }),
                Resting::Closed => {}
            }
        }
        let ready: Vec<usize> = {
            let ready = self.shared.ready.lock();
            let ready = ready.unwrap_or_else(PoisonError::into_inner);
            let candidates = (0..ready.len()).filter(|&i| ready[i]);
            let is_own = |i| is_concentrated || self.only.is_none_or(|only| only == i);
            let candidates = candidates.filter(|&i| is_own(i));
            candidates.collect()
        };
        if ready.is_empty() {
            return None;
        }
        let is_reached =
            is_concentrated && ready.contains(&most_reached) && self.rng.random_ratio(REACHING, 10);
        let gateway = match is_reached {
            true => most_reached,
            false => ready[self.rng.random_range(0..ready.len())],
        };
        let stream = TcpStream::connect_timeout(&self.shared.gateways[gateway], CONNECT).ok()?;
        let patience = Duration::from_millis(DEADLINE_MS) + PATIENCE;
        stream.set_read_timeout(Some(patience)).ok()?;
        stream.set_write_timeout(Some(patience)).ok()?;
        Some((gateway, Connection::new(stream)))
    }

    fn draw(&mut self, gateway: usize) -> Asking {
        let id = format!("c{}-{}", self.number, self.made);
        self.made += 1;
        let newest = self.shared.newest.load(Ordering::SeqCst);
        let near = newest.saturating_sub(self.rng.random_range(0..4)).max(1);
        let (kind, path, key) = match self.rng.random_range(0..115) {
            100.. => (Kind::Once, "/once/".to_string(), LIMITED_KEY.to_string()),
            0..30 => (Kind::Once, "/once/".to_string(), STEADY_KEY.to_string()),
            30..50 => (
                Kind::Repeatable,
                "/rep/".to_string(),
                STEADY_KEY.to_string(),
            ),
            50..62 => (Kind::Stream, "/str/".to_string(), STEADY_KEY.to_string()),
            62..75 => (Kind::Resumable, "/res/".to_string(), STEADY_KEY.to_string()),
            75..88 => (
                Kind::Repeatable,
                format!("/n{near}/"),
                STEADY_KEY.to_string(),
            ),
            _ => (Kind::Repeatable, "/rep/".to_string(), format!("r{near}")),
        };
        let path = format!("{path}{id}");
        let body = match self.rng.random_range(0..20) {
            0 => LARGE,
            _ => 16,
        };
        let leaves = self.rng.random_range(0..40) == 0;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {key}\r\n{}: forged\r\n\
             {}: {DEADLINE_MS}\r\n{}: {COMMON_PART}:80,{:x}:20,{:x}:9\r\nContent-Length: {body}\r\n\r\n",
            names::ATTEMPT_ID,
            names::CREDENTIAL,
            names::TENANT,
            names::DEADLINE_MS,
            names::PROMPT_PREFIX,
            self.number + 1,
            hash(&id)
        );
        let mut text = head.into_bytes();
        text.resize(text.len() + body, b'x');
        self.shared.history.note(Seen::Sent {
            id: id.clone(),
            kind,
            path,
            key,
            gateway,
        });
        let loses_connection =
            kind == Kind::Resumable && hash(&id).is_multiple_of(LOST_CONNECTIONS);
        Asking {
            first: id.clone(),
            id,
            kind,
            text,
            leaves,
            loses_connection_after: loses_connection.then_some(2),
        }
    }

    fn continue_stream(&mut self, gateway: usize, broken: &BrokenStream) -> Asking {
        let id = format!("c{}-{}", self.number, self.made);
        self.made += 1;
        let BrokenStream {
            first, path, after, ..
        } = broken;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {STEADY_KEY}\r\n\
             {}: {DEADLINE_MS}\r\n{}: {first}\r\nLast-Event-Id: {after}\r\nContent-Length: 0\r\n\r\n",
            names::ATTEMPT_ID,
            names::CREDENTIAL,
            names::DEADLINE_MS,
            names::RESUMES
        );
        self.shared.history.note(Seen::Continues {
            id: id.clone(),
            first: first.clone(),
            after: *after,
        });
        self.shared.history.note(Seen::Sent {
            id: id.clone(),
            kind: Kind::Resumable,
            path: path.clone(),
            key: STEADY_KEY.to_string(),
            gateway,
        });
        Asking {
            id,
            first: first.clone(),
            kind: Kind::Resumable,
            text: head.into_bytes(),
            leaves: false,
            loses_connection_after: None,
        }
    }

    // Keeps a resumable stream that broke, to continue it with the next request.
    fn keep_if_broken(&mut self, asking: &Asking, earlier: Option<BrokenStream>, body: &Body) {
        let tries = earlier.as_ref().map_or(0, |broken| broken.tries + 1);
        let Body::Events {
            numbers,
            ended: false,
            ..
        } = body
        else {
            return;
        };
        let before = earlier.map_or(0, |broken| broken.after);
        let after = numbers.last().copied().unwrap_or(before);
        if asking.kind == Kind::Resumable && after > 0 && tries < MAX_CONTINUATIONS {
            self.broken = Some(BrokenStream {
                path: format!("/res/{}", asking.first),
                first: asking.first.clone(),
                after,
                tries,
            });
        }
    }

    fn body(&self, connection: &mut Connection, head: &Head, asking: &Asking) -> Body {
        let is_stream = matches!(asking.kind, Kind::Stream | Kind::Resumable);
        if is_stream && head.is_chunked() && head.word(1) == "200" {
            return self.events(connection, asking);
        }
        let read = match head.is_chunked() {
            true => chunks(connection),
            false => self.pieces(connection, head.length()),
        };
        match read {
            Ok(bytes) => Body::Whole {
                right: head.word(1) != "200" || bytes == body_of(&asking.id),
            },
            Err(_) => Body::Cut,
        }
    }

    fn pieces(&self, connection: &mut Connection, length: usize) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        while bytes.len() < length {
            bytes.extend(connection.bytes(SLOW_PIECE.min(length - bytes.len()))?);
            self.dawdle();
        }
        Ok(bytes)
    }

    fn events(&self, connection: &mut Connection, asking: &Asking) -> Body {
        let mut text = String::new();
        let mut left = asking.loses_connection_after;
        let ended = loop {
            if left == Some(0) {
                let id = asking.id.clone();
                self.shared.history.note(Seen::LostConnection { id });
                break false;
            }
            left = left.map(|left| left - 1);
            match connection.chunk() {
                Ok(bytes) if bytes.is_empty() => break true,
                Ok(bytes) => text += &String::from_utf8_lossy(&bytes),
                Err(_) => break false,
            }
            self.dawdle();
        };
        let total = events_of(&asking.first);
        let data = format!("data: {} {total} ", asking.first);
        // Without its empty line an event is not whole.
        let whole: Vec<&str> = text.split_inclusive("\n\n").collect();
        let whole = whole.into_iter().filter(|event| event.ends_with("\n\n"));
        let mut own = true;
        let mut versions = Vec::new();
        let mut numbers = Vec::new();
        for event in whole {
            let (number, rest) = event.split_once('\n').unwrap_or((event, ""));
            let number = number.strip_prefix("id: ").and_then(|n| n.parse().ok());
            numbers.push(number.unwrap_or(0));
            match rest.trim_end().strip_prefix(&data) {
                Some(version) => versions.push(version.to_string()),
                None => own = false,
            }
        }
        versions.dedup();
        let id = asking.id.clone();
        self.shared
            .history
            .note(Seen::EventVersions { id, versions });
        Body::Events {
            numbers,
            own,
            total,
            ended,
        }
    }

    fn dawdle(&self) {
        if self.reads_slowly {
            thread::sleep(SLOW_PAUSE);
        }
    }
}

fn chunks(connection: &mut Connection) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        let chunk = connection.chunk()?;
        if chunk.is_empty() {
            return Ok(bytes);
        }
        bytes.extend(chunk);
    }
}

fn lack(kind: ErrorKind) -> Lack {
    match kind {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Lack::TimedOut,
        _ => Lack::Closed,
    }
}

enum Resting {
    Quiet,
    Bytes,
    Closed,
}

fn rests(connection: &Connection) -> Resting {
    if connection.has_buffered() {
        return Resting::Bytes;
    }
    let stream = connection.stream();
    if stream.set_nonblocking(true).is_err() {
        return Resting::Closed;
    }
    let found = stream.peek(&mut [0]);
    if stream.set_nonblocking(false).is_err() {
        return Resting::Closed;
    }
    match found {
        Ok(0) => Resting::Closed,
        Ok(_) => Resting::Bytes,
        Err(error) if error.kind() == ErrorKind::WouldBlock => Resting::Quiet,
        Err(_) => Resting::Closed,
    }
}
