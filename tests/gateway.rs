//! `croftpond gateway` as a process, between a client, a worker and a store that speak as the
//! platform does.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use rustix::process::{kill_process, Pid, Signal};

/// Longest wait for something that must come; it bounds a failing test, not a passing one.
const PATIENCE: Duration = Duration::from_secs(30);

/// Serves each request line and head with `serve`, on a connection that stays open.
fn server(serve: impl Fn(&str) -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve_connection(stream, &*serve));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, serve: &dyn Fn(&str) -> String) {
    while let Some(head) = read_head(&mut stream) {
        let lower = head.to_lowercase();
        let length = lower.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.split('\r').next()?.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        if stream.read_exact(&mut body).is_err() {
            return;
        }
        if stream.write_all(serve(&head).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with("\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(char::from(byte[0])),
            _ => return None,
        }
    }
    Some(text)
}

fn json(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn row(table: &str, key: &str, value: &str) -> String {
    let value = STANDARD.encode(value);
    format!(r#"{{"table":"{table}","part":"","privateKey":"{key}","value":"{value}","ver":1}}"#)
}

/// A store with one configuration and one worker, which never change.
fn store(worker: SocketAddr) -> SocketAddr {
    let config = r#"{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",
        "routeKind":"non_idempotent","timeoutMs":5000,"service":"s"}],"services":[{"name":"s"}],
        "tenants":[{"name":"t","apiKeys":["k"]}]}"#;
    let entry = format!(
        r#"{{"service":"s","address":"{worker}","zone":"z","version":"v1","slots":4,"state":"ready",
            "coldRemainingMs":0,"sequence":1}}"#
    );
    let config = row("op", "config", config);
    let entry = row("servers", "i-1", &entry);
    let started = Instant::now();
    server(move |head| {
        let rows = match head {
            _ if head.starts_with("GET /v1/rows-get?table=op&") => config.clone(),
            _ if head.starts_with("GET /v1/rows-get?table=servers&") => entry.clone(),
            _ => String::new(),
        };
        if head.starts_with("GET /v1/rows-feed") {
            // The held call of a store in which nothing changes.
            thread::sleep(Duration::from_millis(100));
        }
        let now_ms = started.elapsed().as_millis();
        json(&format!(
            r#"{{"rows":[{rows}],"more":false,"ver":5,"now_ms":{now_ms}}}"#
        ))
    })
}

fn worker(ran: &Arc<AtomicUsize>) -> SocketAddr {
    let ran = Arc::clone(ran);
    server(move |head| {
        ran.fetch_add(1, Ordering::SeqCst);
        let lower = head.to_lowercase();
        assert!(lower.contains("croftpond-tenant: t\r\n"), "{head}");
        assert!(
            lower.contains("croftpond-expected-instance: i-1\r\n"),
            "{head}"
        );
        assert!(!lower.contains("croftpond-credential"), "{head}");
        let id = lower.split("croftpond-attempt-id: ").nth(1).unwrap();
        let id = id.split('\r').next().unwrap();
        format!(
            "HTTP/1.1 200 OK\r\ncroftpond-attempt-id: {id}\r\n\
             croftpond-response-signature: s1\r\ncontent-length: 4\r\n\r\nheld"
        )
    })
}

struct Process {
    child: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn start(store: SocketAddr) -> Process {
    let (callers, readiness) = (free_address(), free_address());
    let peer_port = free_address().port();
    let text = format!(
        "[gateway]\nname = g1\nzone = z\naddress = 127.0.0.1\ncallers = {callers}\n\
         readiness = {readiness}\npeer_ports = {peer_port},{peer_port}\n\
         [store]\naddress = {store}\n[bounds]\ncredential_age = 5000ms\n"
    );
    let path = std::env::temp_dir().join(format!("gateway-{}.ini", callers.port()));
    std::fs::write(&path, text).unwrap();
    // The platform names the settings file by a variable.
    let child = Command::new(env!("CARGO_BIN_EXE_croftpond"))
        .arg("gateway")
        .env("CROFTPOND_BOOT", &path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    Process {
        child,
        callers,
        readiness,
    }
}

fn call(address: SocketAddr, head: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let request = format!("{head}Host: h\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    Some(answer)
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or_default()
}

#[test]
fn a_gateway_serves_a_client_of_the_platform_and_stops_as_planned() {
    let ran = Arc::new(AtomicUsize::new(0));
    let worker = worker(&ran);
    let mut process = start(store(worker));
    let began = Instant::now();
    let ready = || {
        let answer = call(process.readiness, "GET /v1/readiness HTTP/1.1\r\n");
        answer.is_some_and(|answer| status(&answer) == "200")
    };
    while !ready() {
        assert!(began.elapsed() < PATIENCE, "never ready");
        thread::sleep(Duration::from_millis(20));
    }
    let head = "POST /a/b HTTP/1.1\r\nCroftpond-Attempt-Id: 7\r\nCroftpond-Credential: k\r\n\
        Croftpond-Tenant: forged\r\nCroftpond-Deadline-Ms: 4000\r\nContent-Length: 0\r\n";
    let served = || call(process.callers, head).unwrap();
    let mut answer = served();
    while status(&answer) == "503" {
        // Ready by its configuration, it may not have read the endpoints yet.
        assert!(began.elapsed() < PATIENCE, "{answer}");
        answer = served();
    }
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(answer.ends_with("\r\n\r\nheld"));
    assert!(answer
        .to_lowercase()
        .contains("croftpond-response-signature: s1"));
    assert_eq!(ran.load(Ordering::SeqCst), 1);
    let wrong_key = head.replace("Credential: k", "Credential: other");
    assert_eq!(status(&call(process.callers, &wrong_key).unwrap()), "401");
    let pid = Pid::from_child(&process.child);
    kill_process(pid, Signal::TERM).unwrap();
    assert!(process.child.wait().unwrap().success());
    let lines: Vec<String> = BufReader::new(process.child.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok)
        .collect();
    let logged = |message: &str| {
        lines
            .iter()
            .any(|l| l.contains(&format!("\"msg\":\"{message}\"")))
    };
    for message in [
        "start",
        "configuration in force",
        "placed",
        "answered",
        "refused",
        "stop",
    ] {
        assert!(logged(message), "no line `{message}` in {lines:#?}");
    }
}
