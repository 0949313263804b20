//! Nodes whose answers are broken: the client library must not return them.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::thread;

use client::Client;

const BODY: &str = "made";

/// Serves one request with each of these texts, and returns the address of the server.
fn serve(answers: Vec<String>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to listen");
    let address = listener.local_addr().expect("the listener has no address");
    thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().expect("no connection");
            let mut bytes = vec![0; 4096];
            let _ = stream.read(&mut bytes);
            let _ = stream.write_all(answer.as_bytes());
            let _ = stream.shutdown(Shutdown::Write);
            let _ = stream.read_to_end(&mut bytes);
        }
    });
    address.to_string()
}

// Guards against a call that ends with a part of its answer because a node ended while it wrote it.
#[test]
fn a_call_whose_answer_is_broken_is_repeated_with_its_key() {
    let length = BODY.len();
    let sound = format!("HTTP/1.1 201 X\r\ncontent-length: {length}\r\n\r\n{BODY}");
    let broken = [
        format!("content-length: {length}\r\n\r\nma"),
        format!("no colon\r\ncontent-length: {length}\r\n\r\n{BODY}"),
        format!("content-lengt: {length}\r\n\r\n{BODY}"),
        "transfer-encoding: chunked\r\n\r\n4\r\nmade\r\n".to_string(),
        "content-length: 2\r\n\r\nmade".to_string(),
    ];
    for text in broken {
        let first = format!("HTTP/1.1 200 X\r\n{text}");
        let client = Client::new(vec![serve(vec![first, sound.clone()])], "credential");
        let answer = client.call_once("/a", "key", "x").expect("no answer");
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (201, BODY),
            "{text:?}"
        );
    }
}
