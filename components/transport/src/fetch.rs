//! Transfer of configuration bodies between nodes, in frames over TCP.
//!
//! A frame is a four-byte big-endian length, then that many bytes. The request is a
//! [`BodyRequest`] with an authentication tag; the answer is the body, or an empty frame if the node
//! does not have it. The answer has no tag: its hash proves that it is the requested body.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use schema::messages::BodyRequest;

use crate::auth::{sign, verify, Key, TAG_BYTES};

/// Largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 512;
const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the body with this hash from the node at `address`; `None` if the node does not have it.
/// Does not check the hash of the body.
pub fn fetch_config_body(address: SocketAddr, key: &Key, hash: &str) -> io::Result<Option<String>> {
    let mut stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
    set_timeouts(&stream)?;
    let request = BodyRequest {
        hash: hash.to_string(),
    };
    let mut bytes = schema::encode(&request).map_err(io::Error::other)?;
    let tag = sign(key, &bytes);
    bytes.extend_from_slice(&tag);
    write_frame(&mut stream, &bytes)?;
    let body = read_frame(&mut stream, MAX_FRAME_BYTES)?;
    let body = String::from_utf8(body).map_err(io::Error::other)?;
    Ok(Some(body).filter(|b| !b.is_empty()))
}

/// Answers one request on a connection; `find` returns the body with a hash.
pub fn serve_config_body(
    mut stream: TcpStream,
    key: &Key,
    find: impl FnOnce(&str) -> Option<String>,
) -> io::Result<()> {
    set_timeouts(&stream)?;
    let bytes = read_frame(&mut stream, MAX_REQUEST_BYTES)?;
    let split = bytes.len().saturating_sub(TAG_BYTES);
    let (value, tag) = bytes.split_at(split);
    if !verify(key, value, tag) {
        return Err(io::Error::other(
            "request has an invalid authentication tag",
        ));
    }
    let request: BodyRequest = schema::decode(value).map_err(io::Error::other)?;
    write_frame(
        &mut stream,
        find(&request.hash).unwrap_or_default().as_bytes(),
    )
}

/// Binds a TCP listener; a node uses the address at which it receives datagrams.
pub fn bind_config_listener(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

fn set_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))
}

fn write_frame(stream: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes())?;
    stream.write_all(bytes)
}

fn read_frame(stream: &mut impl Read, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > max_bytes {
        return Err(io::Error::other("frame too large"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn serve(key: &'static str) -> SocketAddr {
        let listener = bind_config_listener(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().unwrap();
            let find = |hash: &str| (hash == "h").then(|| "body".to_string());
            let _ = serve_config_body(stream, &Key::new(key), find);
        });
        address
    }

    #[test]
    fn can_fetch_a_body_that_the_node_has() {
        let key = Key::new("0123456789abcdef");
        assert_eq!(
            fetch_config_body(serve("0123456789abcdef"), &key, "h").unwrap(),
            Some("body".into())
        );
        assert_eq!(
            fetch_config_body(serve("0123456789abcdef"), &key, "i").unwrap(),
            None
        );
    }

    #[test]
    fn errors_on_a_request_signed_with_another_key() {
        let key = Key::new("0123456789abcdef");
        assert!(fetch_config_body(serve("another key 1234"), &key, "h").is_err());
    }
}
