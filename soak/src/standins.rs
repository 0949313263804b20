//! What surrounds the gateways: a store, a taker of reports, endpoints and clients. Each writes
//! down what it sees; only these files know the platform's names.

pub(crate) mod client;
pub(crate) mod deadly;
pub(crate) mod endpoint;
pub(crate) mod operator;
pub(crate) mod store;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::http::Connection;

/// A number made of a text, the same each time.
pub(crate) fn hash(text: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    let mix = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let sum = text.bytes().fold(start, mix);
    // The low bits of the sum of alike texts are alike.
    (sum ^ (sum >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 17
}

/// The body that every endpoint makes for a request.
pub(crate) fn body_of(id: &str) -> Vec<u8> {
    let length = match hash(id) % 12 {
        0 => 400_000,
        _ => 120,
    };
    let piece = format!("{id}.");
    piece.bytes().cycle().take(length).collect()
}

/// Serves each connection in a thread of its own.
pub(crate) fn listen(
    serve: impl Fn(Connection) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
    Ok(address)
}

/// An answer in JSON.
pub(crate) fn json(status: u16, body: &str) -> String {
    json_with_header(status, "", body)
}

/// An answer in JSON with further header lines, each with its line end.
pub(crate) fn json_with_header(status: u16, header: &str, body: &str) -> String {
    let length = body.len();
    let type_line = "content-type: application/json";
    format!("HTTP/1.1 {status} X\r\n{type_line}\r\n{header}content-length: {length}\r\n\r\n{body}")
}
