//! A caller whose request ends each endpoint that begins it, and who asks again and again, at any gateway.

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::Duration;

use platform::names;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::client::Shared;
use super::hash;
use super::operator::{HOST, STEADY_KEY};
use crate::history::{Body, Kind, Lack, Seen};
use crate::http::{Connection, Head};

/// Path of what is deadly.
pub(crate) const DEADLY: &str = "/rep/deadly";
/// A part that is deadly in any prompt for the service.
pub(crate) const DEADLY_PART: &str = "dead";
/// A part that all prompts share.
pub(crate) const COMMON_PART: &str = "c0";
/// Begin of the ids of requests with the deadly part.
pub(crate) const DEADLY_PART_ID: &str = "p-";
/// Its body.
const BODY: &str = "the same each time";
/// Time after which the first one is sent: by then all gateways serve.
const FIRST_AFTER: Duration = Duration::from_secs(6);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(120);
/// Time it gives a request.
const DEADLINE: Duration = Duration::from_secs(2);
/// Makes its draw another than that of the clients.
const SALT: u64 = 0xdead;
/// The same for requests with a deadly part.
const PART_SALT: u64 = 0x9a27;
/// Time after which the first of these is sent.
const FIRST_PART_AFTER: Duration = Duration::from_secs(9);

/// Asks for the deadly request until the run is over.
pub(crate) fn ask_deadly(shared: &Arc<Shared>, seed: u64) {
    ask_in_turn(shared, seed ^ SALT, FIRST_AFTER, |gateway, number| {
        let id = format!("d-{number}");
        ask(shared, gateway, &id, Kind::Repeatable, DEADLY, BODY, "");
    });
}

/// Sends requests with the deadly part until the run is over, no two alike.
pub(crate) fn ask_deadly_part(shared: &Arc<Shared>, seed: u64) {
    let (kind, route) = match seed.is_multiple_of(2) {
        true => (Kind::Repeatable, "/rep/"),
        false => (Kind::Stream, "/str/"),
    };
    ask_in_turn(
        shared,
        seed ^ PART_SALT,
        FIRST_PART_AFTER,
        |gateway, number| {
            let id = format!("{DEADLY_PART_ID}{number}");
            let parts = format!("{COMMON_PART}:80,{DEADLY_PART}:20,{:x}:9", hash(&id));
            let header = format!("{}: {parts}\r\n", names::PROMPT_PREFIX);
            let path = format!("{route}{id}");
            ask(shared, gateway, &id, kind, &path, &id, &header);
        },
    );
}

fn ask_in_turn(shared: &Arc<Shared>, seed: u64, first_after: Duration, ask: impl Fn(usize, usize)) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    thread::sleep(first_after);
    let mut number = 0;
    while !shared.over.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        let ready = shared.ready.lock();
        let ready = ready.unwrap_or_else(PoisonError::into_inner).clone();
        let ready: Vec<usize> = (0..ready.len()).filter(|i| ready[*i]).collect();
        if ready.is_empty() {
            continue;
        }
        let gateway = ready[rng.random_range(0..ready.len())];
        ask(gateway, number);
        number += 1;
    }
}

fn ask(
    shared: &Shared,
    gateway: usize,
    id: &str,
    kind: Kind,
    path: &str,
    body: &str,
    header: &str,
) {
    let address = shared.gateways[gateway];
    let Ok(stream) = TcpStream::connect_timeout(&address, DEADLINE) else {
        return;
    };
    if stream.set_read_timeout(Some(DEADLINE * 2)).is_err() {
        return;
    }
    shared.history.note(Seen::Sent {
        id: id.to_string(),
        kind,
        path: path.to_string(),
        key: STEADY_KEY.to_string(),
        gateway,
    });
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {STEADY_KEY}\r\n{}: {}\r\n\
         {header}Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        names::ATTEMPT_ID,
        names::CREDENTIAL,
        names::DEADLINE_MS,
        DEADLINE.as_millis(),
        body.len()
    );
    let mut connection = Connection::new(stream);
    let sent = connection.send(text.as_bytes());
    let seen = match sent.and_then(|()| connection.head()) {
        Ok(head) => Seen::Answered {
            id: id.to_string(),
            status: head.word(1).parse().unwrap_or(0),
            of: head.field(names::ATTEMPT_ID).map(str::to_string),
            signed: head.field(names::SIGNATURE).is_some(),
            body: body_of_answer(&mut connection, &head),
        },
        Err(_) => Seen::Unanswered {
            id: id.to_string(),
            why: Lack::Closed,
        },
    };
    shared.history.note(seen);
}

// No success is right: nothing runs to its end.
fn body_of_answer(connection: &mut Connection, head: &Head) -> Body {
    if head.word(1) != "200" {
        return Body::Whole { right: true };
    }
    let is_whole = match head.is_chunked() {
        true => loop {
            match connection.chunk() {
                Ok(chunk) if chunk.is_empty() => break true,
                Ok(_) => {}
                Err(_) => break false,
            }
        },
        false => connection.bytes(head.length()).is_ok(),
    };
    match is_whole {
        true => Body::Whole { right: false },
        false => Body::Cut,
    }
}
