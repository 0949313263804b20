//! Endpoints: plain answers and streams, some of which go wrong on purpose.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Result;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use platform::names::{
    ATTEMPT_ID, CREDENTIAL, EXPECTED_INSTANCE, INSTANCE_LOAD, NOT_EXECUTED, PROMPT_PREFIX, RESUMES,
    SERVER_LEAVING, SERVER_LIMIT, SIGNATURE, TENANT,
};

use super::deadly::{DEADLY, DEADLY_PART};
use super::{body_of, hash, listen};
use crate::history::{History, Seen};
use crate::http::{Connection, Head};
use crate::link::Link;

/// Requests at a time; more are turned away.
const SLOTS: usize = 8;
/// Longest silence of an endpoint that hangs.
const HANG: Duration = Duration::from_secs(5);
/// Pause between the events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Time from the begin of a deadly request to the end of its endpoint.
const WORK_BEFORE_END: Duration = Duration::from_millis(40);
/// One in so many answers has neither a length nor chunks.
const UNMARKED_ANSWERS: u64 = 6;
/// An endpoint that reads slowly takes a body in such pieces, with such pauses.
const SLOW_PIECE: usize = 16 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(15);

/// Time for which work takes as long as usual or longer, of a machine that is shared.
const SWING: Duration = Duration::from_millis(400);
/// How long work takes in every third such time, in parts of the usual.
const SLOW_FACTOR: u32 = 3;

/// What an endpoint says of how long work takes there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Telling {
    Nothing,
    Truth,
    Lies,
    Nonsense,
}

fn telling(endpoint: &str) -> Telling {
    match hash(endpoint) % 4 {
        0 => Telling::Nothing,
        1 => Telling::Truth,
        2 => Telling::Lies,
        _ => Telling::Nonsense,
    }
}

/// How a request goes at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Course {
    Well,
    Fails,
    LosesAnswer,
    BreaksOff,
    Hangs,
    TurnsAway,
}

/// A limit that an endpoint names.
#[derive(Clone, Copy)]
pub(crate) struct NamedLimit {
    /// Thousandths of a request a second.
    pub milli: u64,
    /// Time of the history until which it is named, in ms.
    pub until: u64,
}

struct Inner {
    id: String,
    service: &'static str,
    // Version of its software, which each of its events contains.
    software: &'static str,
    history: History,
    ended: AtomicBool,
    leaving: AtomicBool,
    // Time of the history until which it wants nothing, in ms.
    paused_until: AtomicU64,
    // Time of the history until which every request fails, in ms.
    failing_until: AtomicU64,
    limit: Mutex<Option<NamedLimit>>,
    running: Mutex<BTreeSet<String>>,
    // The way by which gateways reach it.
    link: Mutex<Option<Link>>,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    opened: AtomicU64,
}

/// One incarnation of an endpoint.
#[derive(Clone)]
pub(crate) struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, in ms since the start of the run.
    pub born: Option<u64>,
    inner: Arc<Inner>,
}

/// Events of the stream that answers a request.
pub(crate) fn events_of(id: &str) -> u64 {
    3 + hash(id) / 100 % 20
}

fn course(id: &str, endpoint: &str) -> Course {
    match hash(&format!("{id} {endpoint}")) % 100 {
        0..=2 => Course::LosesAnswer,
        3..=5 => Course::BreaksOff,
        6 => Course::Hangs,
        7 => Course::Fails,
        8..=11 => Course::TurnsAway,
        _ => Course::Well,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Endpoint {
    /// Starts an endpoint of a service with an id and a version of its software.
    pub fn start(
        id: &str,
        service: &'static str,
        software: &'static str,
        history: &History,
    ) -> Result<Self> {
        let inner = Arc::new(Inner {
            id: id.to_string(),
            service,
            software,
            history: history.clone(),
            ended: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            paused_until: AtomicU64::new(0),
            failing_until: AtomicU64::new(0),
            limit: Mutex::default(),
            running: Mutex::default(),
            link: Mutex::default(),
            open: Mutex::default(),
            opened: AtomicU64::new(0),
        });
        history.note(Seen::EndpointStarted {
            endpoint: id.to_string(),
        });
        inner.note_software(true);
        let serving = Arc::clone(&inner);
        let address = listen(move |connection| serving.serve_noted(connection))?;
        Ok(Endpoint {
            address,
            born: Some(history.now()),
            inner,
        })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Version of its software.
    pub fn software(&self) -> &'static str {
        self.inner.software
    }

    /// Names the way by which gateways reach it. It is closed when the endpoint ends.
    pub fn set_link(&self, link: &Link) {
        *lock(&self.inner.link) = Some(link.clone());
    }

    /// Ends it: what it runs breaks off, and it takes nothing more.
    pub fn end(&self) {
        self.inner.end();
    }

    /// From now on its answers say that it leaves.
    pub fn leave(&self) {
        self.inner.note_software(false);
        self.inner.leaving.store(true, Ordering::SeqCst);
    }

    /// For some ms it turns all away and asks for a pause until then.
    pub fn ask_pause(&self, ms: u64) {
        let until = self.inner.history.now() + ms;
        self.inner.paused_until.store(until, Ordering::SeqCst);
    }

    /// For some ms every request fails.
    pub fn fail_all(&self, ms: u64) {
        let until = self.inner.history.now() + ms;
        self.inner.failing_until.store(until, Ordering::SeqCst);
    }

    /// Its answers name a limit from now on.
    pub fn name_limit(&self, limit: NamedLimit) {
        *lock(&self.inner.limit) = Some(limit);
    }

    /// Whether it ended.
    pub fn has_ended(&self) -> bool {
        self.inner.ended.load(Ordering::SeqCst)
    }
}

impl Inner {
    fn note_software(&self, serves: bool) {
        self.history.note(Seen::Software {
            endpoint: self.id.clone(),
            service: self.service.to_string(),
            version: self.software.to_string(),
            serves,
        });
    }

    fn end(&self) {
        self.note_software(false);
        for id in lock(&self.running).iter() {
            self.history.note(Seen::BrokeOff { id: id.clone() });
        }
        self.ended.store(true, Ordering::SeqCst);
        // A process that ends closes its listener no later than its connections.
        if let Some(link) = lock(&self.link).as_ref() {
            link.close();
        }
        for stream in lock(&self.open).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve_noted(&self, mut connection: Connection) {
        let Ok(stream) = connection.stream().try_clone() else {
            return;
        };
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        lock(&self.open).insert(number, stream);
        // An error is the end of the connection.
        let _ = self.serve(&mut connection);
        let _ = connection.stream().shutdown(Shutdown::Both);
        lock(&self.open).remove(&number);
    }

    fn serve(&self, connection: &mut Connection) -> Result<()> {
        while !self.ended.load(Ordering::SeqCst) {
            let head = connection.head()?;
            let id = head.field(ATTEMPT_ID).unwrap_or_default();
            let id = id.to_string();
            let reads_slowly = hash(&id).is_multiple_of(8);
            let mut left = head.length();
            while left > 0 {
                let piece = left.min(SLOW_PIECE);
                connection.bytes(piece)?;
                left -= piece;
                if reads_slowly {
                    thread::sleep(SLOW_PAUSE);
                }
            }
            self.take(connection, &head, &id)?;
        }
        Ok(())
    }

    fn take(&self, connection: &mut Connection, head: &Head, id: &str) -> Result<()> {
        let expected = head.field(EXPECTED_INSTANCE);
        if expected.is_some_and(|expected| expected != self.id) {
            return not_run(connection, 421, id, "");
        }
        let paused_until = self.paused_until.load(Ordering::SeqCst);
        let pause = paused_until.saturating_sub(self.history.now());
        let is_failing = self.history.now() < self.failing_until.load(Ordering::SeqCst);
        let course = match is_failing {
            true => Course::Fails,
            false => course(id, &self.id),
        };
        let is_full = lock(&self.running).len() >= SLOTS;
        if is_full || course == Course::TurnsAway || pause > 0 {
            self.history.note(Seen::TurnedAway {
                id: id.to_string(),
                endpoint: self.id.clone(),
            });
            let said = self.say(id) + &self.say_pause(id, pause);
            return not_run(connection, 503, id, &said);
        }
        if self.ended.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        lock(&self.running).insert(id.to_string());
        self.history.note(Seen::Began {
            id: id.to_string(),
            endpoint: self.id.clone(),
            path: head.word(1).to_string(),
            team: head.field(TENANT).map(str::to_string),
            key_shown: head.field(CREDENTIAL).is_some(),
        });
        if head.word(1) == DEADLY {
            self.end();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if has_deadly_part(head) {
            // It ends as it begins to write the answer.
            thread::sleep(WORK_BEFORE_END);
            let sent = connection.send(last_words(id, is_stream(head)).as_bytes());
            self.end();
            return sent.and(Err(std::io::ErrorKind::ConnectionReset.into()));
        }
        let ran = self.run(connection, head, id, course);
        lock(&self.running).remove(id);
        ran
    }

    // How long work takes now, in parts of the usual.
    fn slowdown(&self) -> u32 {
        let swings = self.history.now() / SWING.as_millis() as u64 + hash(&self.id);
        match swings % 3 {
            0 => SLOW_FACTOR,
            _ => 1,
        }
    }

    // Field of an answer with its load.
    fn say_load(&self) -> String {
        let running = lock(&self.running).len();
        let slowdown = self.slowdown();
        let told = match telling(&self.id) {
            Telling::Nothing => String::new(),
            Telling::Truth => format!(",{}", slowdown * 100),
            Telling::Lies => format!(",{}", 100 * SLOW_FACTOR / slowdown),
            Telling::Nonsense => [",", ",x", ",-1", ",0,250"][slowdown as usize].into(),
        };
        format!("{INSTANCE_LOAD}: {running},0,{SLOTS}{told}\r\n")
    }

    // Field of an answer that names its limit, if it has one.
    fn say_limit(&self, id: &str) -> String {
        let now = self.history.now();
        let limit = *lock(&self.limit);
        let Some(NamedLimit { milli, until }) = limit.filter(|limit| now < limit.until) else {
            return String::new();
        };
        self.history.note(Seen::NamedLimit {
            id: id.to_string(),
            endpoint: self.id.clone(),
            milli,
            until,
        });
        format!("{SERVER_LIMIT}: {}.{:03}\r\n", milli / 1000, milli % 1000)
    }

    // Fields of an answer that tell its load, its limit and, if so, that it leaves.
    fn say(&self, id: &str) -> String {
        let load = self.say_load() + &self.say_limit(id);
        if !self.leaving.load(Ordering::SeqCst) {
            return load;
        }
        self.history.note(Seen::SaidLeaving {
            id: id.to_string(),
            endpoint: self.id.clone(),
        });
        format!("{load}{SERVER_LEAVING}: 1\r\n")
    }

    // Field of an answer that asks for a pause of some ms.
    fn say_pause(&self, id: &str, ms: u64) -> String {
        if ms == 0 {
            return String::new();
        }
        self.history.note(Seen::AskedPause {
            id: id.to_string(),
            endpoint: self.id.clone(),
            ms,
        });
        format!("retry-after: {}.{:03}\r\n", ms / 1000, ms % 1000)
    }

    fn run(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        course: Course,
    ) -> Result<()> {
        if !matches!(course, Course::Well | Course::Fails) {
            self.history.note(Seen::BrokeOff { id: id.to_string() });
        }
        let work = Duration::from_millis(3 + hash(id) / 7 % 80);
        thread::sleep(work * self.slowdown());
        match course {
            Course::LosesAnswer => Err(std::io::ErrorKind::ConnectionReset.into()),
            Course::Hangs => {
                thread::sleep(HANG);
                Err(std::io::ErrorKind::TimedOut.into())
            }
            Course::Fails => plain(connection, 500, id, &self.say(id), b"failed"),
            _ if is_stream(head) => {
                stream(connection, head, id, &self.say(id), course, self.software)
            }
            Course::BreaksOff => {
                let length = body_of(id).len();
                let said = self.say(id);
                connection.send(answer_head(200, id, &said, &length.to_string()).as_bytes())?;
                connection.send(b"half")?;
                Err(std::io::ErrorKind::ConnectionReset.into())
            }
            _ if is_unmarked(id) => {
                let answer = unmarked_head(id, &self.say(id));
                connection.send(&[answer.as_bytes(), &body_of(id)].concat())?;
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
            _ => plain(connection, 200, id, &self.say(id), &body_of(id)),
        }
    }
}

fn has_deadly_part(head: &Head) -> bool {
    let parts = head.field(PROMPT_PREFIX).unwrap_or_default();
    let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
    ids.any(|id| id == DEADLY_PART)
}

// Whether the whole answer to a request has neither a length nor chunks.
fn is_unmarked(id: &str) -> bool {
    hash(&format!("{id} unmarked")).is_multiple_of(UNMARKED_ANSWERS)
}

fn unmarked_head(id: &str, said: &str) -> String {
    format!(
        "HTTP/1.1 200 X\r\n{ATTEMPT_ID}: {id}\r\n{said}{SIGNATURE}: s\r\nconnection: close\r\n\r\n"
    )
}

// What an endpoint writes of an answer before it ends.
fn last_words(id: &str, is_stream: bool) -> String {
    let head = unmarked_head(id, "");
    let event = format!("id: 1\ndata: {id} {} {}\n\n", events_of(id), "v");
    match (hash(id) % 4, is_stream) {
        (0, _) => String::new(),
        (1, _) => head,
        (2, true) => head + &event[..event.len() / 2],
        (_, true) => head + &event,
        (_, false) => head + "half",
    }
}

fn is_stream(head: &Head) -> bool {
    head.word(1).starts_with("/str/") || head.word(1).starts_with("/res/")
}

fn answer_head(status: u16, id: &str, said: &str, length: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{ATTEMPT_ID}: {id}\r\n{said}\
         {SIGNATURE}: s\r\ncontent-length: {length}\r\n\r\n"
    )
}

fn plain(
    connection: &mut Connection,
    status: u16,
    id: &str,
    said: &str,
    body: &[u8],
) -> Result<()> {
    let head = answer_head(status, id, said, &body.len().to_string());
    connection.send(&[head.as_bytes(), body].concat())
}

fn not_run(connection: &mut Connection, status: u16, id: &str, said: &str) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{ATTEMPT_ID}: {id}\r\n{NOT_EXECUTED}: 1\r\n{said}\
         content-length: 0\r\n\r\n"
    );
    connection.send(head.as_bytes())
}

fn stream(
    connection: &mut Connection,
    head: &Head,
    id: &str,
    said: &str,
    course: Course,
    software: &str,
) -> Result<()> {
    let last = head.field("last-event-id");
    let from = last.and_then(|text| text.parse().ok()).unwrap_or(0) + 1;
    let first = head.field(RESUMES).unwrap_or(id);
    let total = events_of(first);
    let is_unmarked = is_unmarked(id);
    let begin = match is_unmarked {
        true => unmarked_head(id, said),
        false => format!(
            "HTTP/1.1 200 X\r\n{ATTEMPT_ID}: {id}\r\n{said}{SIGNATURE}: s\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        ),
    };
    let frame = |event: &str| match is_unmarked {
        true => event.to_string(),
        false => format!("{:x}\r\n{event}\r\n", event.len()),
    };
    connection.send(begin.as_bytes())?;
    for number in from..=total {
        let event = format!("id: {number}\ndata: {first} {total} {software}\n\n");
        if course == Course::BreaksOff && number == from + total / 2 {
            // Partway through an event.
            let framed = frame(&event);
            connection.send(&framed.as_bytes()[..framed.len() / 2])?;
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        connection.send(frame(&event).as_bytes())?;
        thread::sleep(EVENT_GAP);
    }
    match is_unmarked {
        true => Err(std::io::ErrorKind::ConnectionAborted.into()),
        false => connection.send(b"0\r\n\r\n"),
    }
}
