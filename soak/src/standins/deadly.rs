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
use super::operator::{HOST, STEADY_KEY};
use crate::history::{Body, Kind, Lack, Seen};
use crate::http::Connection;

/// Path of what is deadly.
pub(crate) const DEADLY: &str = "/rep/deadly";
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

/// Asks until the run is over.
pub(crate) fn ask_deadly(shared: &Arc<Shared>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SALT);
    thread::sleep(FIRST_AFTER);
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
        ask(shared, gateway, &format!("d-{number}"));
        number += 1;
    }
}

fn ask(shared: &Shared, gateway: usize, id: &str) {
    let address = shared.gateways[gateway];
    let Ok(stream) = TcpStream::connect_timeout(&address, DEADLINE) else {
        return;
    };
    if stream.set_read_timeout(Some(DEADLINE * 2)).is_err() {
        return;
    }
    shared.history.note(Seen::Sent {
        id: id.to_string(),
        kind: Kind::Repeatable,
        path: DEADLY.to_string(),
        key: STEADY_KEY.to_string(),
        gateway,
    });
    let text = format!(
        "POST {DEADLY} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {STEADY_KEY}\r\n{}: {}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{BODY}",
        names::ATTEMPT_ID,
        names::CREDENTIAL,
        names::DEADLINE_MS,
        DEADLINE.as_millis(),
        BODY.len()
    );
    let mut connection = Connection::new(stream);
    let sent = connection.send(text.as_bytes());
    let seen = match sent.and_then(|()| connection.head()) {
        Ok(head) => Seen::Answered {
            id: id.to_string(),
            status: head.word(1).parse().unwrap_or(0),
            of: head.field(names::ATTEMPT_ID).map(str::to_string),
            signed: head.field(names::SIGNATURE).is_some(),
            body: Body::Whole { right: true },
        },
        Err(_) => Seen::Unanswered {
            id: id.to_string(),
            why: Lack::Closed,
        },
    };
    shared.history.note(seen);
}
