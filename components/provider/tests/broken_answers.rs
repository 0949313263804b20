//! A platform whose answers are broken: what it sends must not change what a node believes.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::thread;

use provider::{body_hash, Cloud, HttpCloud, HttpObjectStore, HttpTable, ObjectStore, Table};
use state::{Reply, Row, TableCall, Write as RowWrite};

const ROW: &str = "{\"version\":3,\"value\":\"YQ==\"}";

/// Serves one request with these bytes, and returns the URL of the server.
fn serve_once(answer: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to listen");
    let address = listener.local_addr().expect("the listener has no address");
    let answer = answer.to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("no connection");
        let mut bytes = vec![0; 4096];
        let _ = stream.read(&mut bytes);
        let _ = stream.write_all(answer.as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.read_to_end(&mut bytes);
    });
    format!("http://{address}")
}

/// Answers with this status and body whose heads are broken in different ways.
fn broken(status: u16, body: &str) -> Vec<String> {
    let length = body.len();
    let heads = [
        format!("no colon\r\ncontent-length: {length}\r\n"),
        format!("x y: blank in the name\r\ncontent-length: {length}\r\n"),
        format!("content-length: {length}\r\ncontent-length: 3\r\n"),
        format!("content-lengt: {length}\r\n"),
        "transfer-encoding: chunke\r\n".to_string(),
        // Cut off.
        format!("content-length: {}\r\n", length + 1),
    ];
    heads
        .map(|head| format!("HTTP/1.1 {status} X\r\n{head}\r\n{body}"))
        .to_vec()
}

fn sound(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn read(answer: &str) -> Reply {
    HttpTable::new(&serve_once(answer)).call(&TableCall::Read("k".into()))
}

fn transact(answer: &str) -> Reply {
    let write = RowWrite {
        key: "k".into(),
        expect: 3,
        value: b"a".to_vec(),
    };
    HttpTable::new(&serve_once(answer)).call(&TableCall::Transact(vec![write]))
}

// Guards against a lease or a configuration that is believed because a broken answer was taken for one of the table.
#[test]
fn a_broken_answer_of_the_table_is_none() {
    for answer in broken(200, ROW).iter().chain(&broken(404, "")) {
        assert_eq!(read(answer), Reply::Unanswered, "{answer:?}");
    }
    for status in [200, 409, 429] {
        for answer in broken(status, "") {
            assert_eq!(transact(&answer), Reply::Unanswered, "{answer:?}");
        }
    }
}

// Guards against a VM that counts as bought or given back, or a list of VMs, by a broken answer.
#[test]
fn a_broken_answer_of_the_cloud_is_none() {
    for answer in broken(200, "[]") {
        assert_eq!(
            HttpCloud::new(&serve_once(&answer)).vms(),
            None,
            "{answer:?}"
        );
        let notices = HttpCloud::new(&serve_once(&answer)).notices(0);
        assert_eq!(notices, None, "{answer:?}");
        let given_back = HttpCloud::new(&serve_once(&answer)).give_back("vm");
        assert_eq!(given_back, None, "{answer:?}");
    }
}

// Guards against an object that counts as stored by a broken answer.
#[test]
fn a_broken_answer_of_the_object_store_is_none() {
    for answer in broken(200, "body") {
        let hash = body_hash("body");
        assert!(!HttpObjectStore::new(&serve_once(&answer)).put(&hash, "body"));
        assert_eq!(HttpObjectStore::new(&serve_once(&answer)).get(&hash), None);
    }
}

#[test]
fn a_sound_answer_of_the_platform_is_read() {
    let row = Row {
        version: 3,
        value: b"a".to_vec(),
    };
    assert_eq!(read(&sound(200, ROW)), Reply::Row(Some(row)));
    assert_eq!(read(&sound(404, "")), Reply::Row(None));
    assert_eq!(transact(&sound(200, "")), Reply::Committed { version: 4 });
    assert_eq!(transact(&sound(409, "")), Reply::Conflict);
    assert_eq!(transact(&sound(429, "")), Reply::Refused);
    let cloud = HttpCloud::new(&serve_once(&sound(204, "")));
    assert_eq!(cloud.give_back("vm"), Some(true));
    let hash = body_hash("body");
    let objects = HttpObjectStore::new(&serve_once(&sound(200, "body")));
    assert_eq!(objects.get(&hash).as_deref(), Some("body"));
}
