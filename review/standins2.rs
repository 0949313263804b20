//! Stand-ins of the cases 4 to 8: the platform's store, the taker of duty calls, workers, a proxy and clients. They follow
//! PROTOCOL.md and use nothing but the standard library. `standins2 case N FOLDER` plays a case; `standins2 worker ...` is the
//! process of one worker.

use std::collections::{BTreeMap, HashMap};
use std::env;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const RULE_BROKEN: i32 = 1;
const RULE_HELD: i32 = 0;
const NOT_RUN: i32 = 2;

fn main() {
    let args: Vec<String> = env::args().collect();
    let code = match args.get(1).map(String::as_str) {
        Some("worker") => worker(&args[2..]),
        Some("case") => play(&args[2], Path::new(&args[3])),
        _ => NOT_RUN,
    };
    std::process::exit(code);
}

fn play(case: &str, folder: &Path) -> i32 {
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(world) = World::new(folder) else {
        return NOT_RUN;
    };
    world.note(&format!("case {case}, trouble {}", u8::from(trouble)));
    let code = match case {
        "4" => cases::stream_of_a_worker_that_starts_again(&world, trouble),
        "5" => cases::a_worker_leaves(&world, trouble),
        _ => NOT_RUN,
    };
    let text = match code {
        RULE_BROKEN => "the rule was broken",
        RULE_HELD => "the rule held",
        _ => "the case could not run",
    };
    world.note(text);
    println!("case {case}: {text}");
    world.end();
    code
}

fn millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- HTTP

struct Head {
    first: String,
    fields: Vec<(String, String)>,
}

impl Head {
    fn read(reader: &mut impl BufRead) -> std::io::Result<Head> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_string();
            match line.is_empty() {
                true if lines.is_empty() => continue,
                true => break,
                false => lines.push(line),
            }
        }
        let mut lines = lines.into_iter();
        let first = lines.next().unwrap_or_default();
        let fields = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_string()))
        });
        Ok(Head {
            first,
            fields: fields.collect(),
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    fn length(&self) -> usize {
        self.field("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

fn read_body(reader: &mut impl BufRead, length: usize) -> std::io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn answer_text(status: u16, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves each connection on a thread of its own.
fn listen(
    address: &str,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    Ok(bound)
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &[u8]) -> Json {
        let mut at = 0;
        Json::value(text, &mut at)
    }

    fn value(text: &[u8], at: &mut usize) -> Json {
        Json::skip(text, at);
        match text.get(*at) {
            Some(b'{') => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Json::skip(text, at);
                    match text.get(*at) {
                        Some(b'"') => {
                            let Json::Text(name) = Json::value(text, at) else {
                                return Json::Null;
                            };
                            Json::skip(text, at);
                            *at += 1;
                            fields.push((name, Json::value(text, at)));
                        }
                        Some(b',') => *at += 1,
                        _ => {
                            *at += 1;
                            return Json::Object(fields);
                        }
                    }
                }
            }
            Some(b'[') => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(text, at);
                    match text.get(*at) {
                        Some(b',') => *at += 1,
                        Some(b']') | None => {
                            *at += 1;
                            return Json::List(items);
                        }
                        _ => items.push(Json::value(text, at)),
                    }
                }
            }
            Some(b'"') => {
                *at += 1;
                let mut bytes = Vec::new();
                while let Some(byte) = text.get(*at) {
                    *at += 1;
                    match byte {
                        b'"' => break,
                        b'\\' => {
                            bytes.push(text.get(*at).copied().unwrap_or(b'?'));
                            *at += 1;
                        }
                        byte => bytes.push(*byte),
                    }
                }
                Json::Text(String::from_utf8_lossy(&bytes).into_owned())
            }
            _ => {
                let from = *at;
                while text
                    .get(*at)
                    .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
                {
                    *at += 1;
                }
                *at = (*at).max(from + 1);
                let word = text.get(from..(*at).min(text.len())).unwrap_or_default();
                let word = std::str::from_utf8(word).unwrap_or_default();
                word.parse().map_or(Json::Null, Json::Number)
            }
        }
    }

    fn skip(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                let found = fields.iter().find(|(field, _)| field == name);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0_u32, |group, i| {
            group << 8 | u32::from(chunk.get(i).copied().unwrap_or(0))
        });
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(char::from(DIGITS[(group >> (18 - 6 * i) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- the platform's store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (Option<String>, u64)>,
    newest: u64,
}

struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    fn start() -> std::io::Result<(Arc<Store>, SocketAddr)> {
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = Arc::clone(&store);
        let address = listen("127.0.0.1:0", move |stream| {
            let _ = serving.serve(stream);
        })?;
        Ok((store, address))
    }

    /// Writes a row of the operator or of a worker; `None` removes it.
    fn put(&self, table: &str, key: &str, text: Option<&str>) {
        let key = (table.to_string(), String::new(), key.to_string());
        let mut rows = self.rows.lock().unwrap();
        rows.write(key, text.map(|text| base64(text.as_bytes())));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let head = Head::read(&mut reader)?;
            let body = read_body(&mut reader, head.length())?;
            let (status, answer) = self.call(&head, &body);
            stream.write_all(answer_text(status, "", &answer).as_bytes())?;
        }
    }

    fn call(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, text)| (name.to_string(), unescaped(text)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/rows-get" => {
                let limit = text("limit").parse().unwrap_or(500).min(500);
                let from = (text("table"), text("part"), text("source"));
                let rows = self.rows.lock().unwrap();
                let there = rows.rows.range(from.clone()..);
                let there = there.take_while(|(key, _)| key.0 == from.0 && key.1 == from.1);
                let there: Vec<_> = there.filter(|(_, (text, _))| text.is_some()).collect();
                let page = there.iter().take(limit);
                let page: Vec<String> = page.map(|(key, row)| row_text(key, row)).collect();
                (200, self.rows_text(&page, there.len() > limit, rows.newest))
            }
            "/v1/rows-feed" => self.feed(
                &text("table"),
                text("afterRevision").parse().unwrap_or(0),
                text("waitMs").parse().unwrap_or(0),
            ),
            "/v1/rows-tx" => self.transact(&Json::parse(body)),
            _ => (404, "{}".into()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows.rows.iter();
            let changed = changed.filter(|(key, row)| key.0 == table && row.1 > after);
            let mut changed: Vec<_> = changed.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.1);
                let changed = changed.into_iter();
                let changed: Vec<String> = changed.map(|(key, row)| row_text(key, row)).collect();
                return (200, self.rows_text(&changed, false, rows.newest));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expectedRevision").list();
        let holds = |entry: &Json| {
            let there = rows.rows.get(&key_of(entry));
            let there = there.filter(|(text, _)| text.is_some());
            let version = there.map_or(0, |(_, version)| *version);
            matches!(entry.get("ver"), Json::Number(number) if *number as u64 == version)
        };
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|entry| {
                let key = key_of(entry);
                let row = rows.rows.get(&key).filter(|(text, _)| text.is_some())?;
                Some(row_text(&key, row))
            });
            let found: Vec<String> = found.collect();
            return (412, self.rows_text(&found, false, rows.newest));
        }
        for entry in body.get("put").list() {
            rows.write(key_of(entry), Some(entry.get("value").text().to_string()));
        }
        for entry in body.get("remove").list() {
            rows.write(key_of(entry), None);
        }
        self.changed.notify_all();
        (200, self.rows_text(&[], false, rows.newest))
    }

    fn rows_text(&self, rows: &[String], more: bool, newest: u64) -> String {
        let now_ms = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"more\":{more},\"ver\":{newest},\"now_ms\":{now_ms}}}")
    }
}

impl Rows {
    fn write(&mut self, key: Key, text: Option<String>) {
        self.newest += 1;
        self.rows.insert(key, (text, self.newest));
    }
}

fn key_of(entry: &Json) -> Key {
    let text = |name: &str| entry.get(name).text().to_string();
    (text("table"), text("part"), text("privateKey"))
}

fn row_text(key: &Key, (text, version): &(Option<String>, u64)) -> String {
    let (table, part, name) = key;
    let rest = match text {
        Some(text) => format!("\"value\":\"{text}\""),
        None => "\"gone\":true".into(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"privateKey\":\"{name}\",\"ver\":{version},{rest}}}")
}

fn unescaped(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        bytes.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
        bytes.extend(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------- workers

/// Settings of a worker process, in the order of its arguments.
#[derive(Clone, Debug)]
struct WorkerSettings {
    id: String,
    address: String,
    record: PathBuf,
    slots: u32,
    /// Time until the first event, besides what the prompt takes, or until the answer of a request that is no stream.
    first_ms: u64,
    gap_ms: u64,
    /// Most events of a stream.
    events: u32,
    /// Whether streams have neither a length nor chunks and end with their connection.
    unframed: bool,
    /// Runs out of a hundred that end with a 500 of the worker's own.
    error_percent: u64,
}

impl WorkerSettings {
    fn to_args(&self) -> Vec<String> {
        let record = self.record.to_string_lossy().into_owned();
        vec![
            self.id.clone(),
            self.address.clone(),
            record,
            self.slots.to_string(),
            self.first_ms.to_string(),
            self.gap_ms.to_string(),
            self.events.to_string(),
            u8::from(self.unframed).to_string(),
            self.error_percent.to_string(),
        ]
    }

    fn of_args(args: &[String]) -> Option<Self> {
        let number = |i: usize| args.get(i)?.parse::<u64>().ok();
        Some(WorkerSettings {
            id: args.first()?.clone(),
            address: args.get(1)?.clone(),
            record: PathBuf::from(args.get(2)?),
            slots: number(3)? as u32,
            first_ms: number(4)?,
            gap_ms: number(5)?,
            events: number(6)? as u32,
            unframed: number(7)? == 1,
            error_percent: number(8)?,
        })
    }
}

fn append(record: &Path, text: &str) {
    let file = OpenOptions::new().create(true).append(true).open(record);
    if let Ok(mut file) = file {
        let _ = file.write_all(format!("{} {text}\n", millis()).as_bytes());
    }
}

fn worker(args: &[String]) -> i32 {
    let Some(settings) = WorkerSettings::of_args(args) else {
        return NOT_RUN;
    };
    let address = settings.address.clone();
    let running = Arc::new(AtomicUsize::new(0));
    let reading = Mutex::new(());
    let serving = settings.clone();
    let started = listen(&address, move |stream| {
        let _ = serve_requests(&serving, &running, &reading, stream);
    });
    if let Err(error) = started {
        append(&settings.record, &format!("worker {} cannot listen: {error}", settings.id));
        return NOT_RUN;
    }
    append(&settings.record, &format!("worker {} serves", settings.id));
    // Ends if the process that started it is gone.
    let parent = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == parent {
        sleep_ms(200);
    }
    RULE_HELD
}

fn serve_requests(
    settings: &WorkerSettings,
    running: &AtomicUsize,
    reading: &Mutex<()>,
    stream: TcpStream,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let head = Head::read(&mut reader)?;
        read_body(&mut reader, head.length())?;
        let attempt = head.field("croftpond-attempt-id").unwrap_or_default().to_string();
        let id = &settings.id;
        let expected = head.field("croftpond-expected-instance");
        if expected.is_some_and(|expected| expected != id) {
            let fields = format!("Croftpond-Attempt-Id: {attempt}\r\nCroftpond-Instance-Id: {id}\r\nCroftpond-Not-Executed: 1\r\n");
            stream.write_all(answer_text(421, &fields, "{}").as_bytes())?;
            continue;
        }
        if running.load(Ordering::SeqCst) >= settings.slots as usize {
            let fields = format!("Croftpond-Attempt-Id: {attempt}\r\nCroftpond-Not-Executed: 1\r\n");
            stream.write_all(answer_text(503, &fields, "{}").as_bytes())?;
            continue;
        }
        let now_running = running.fetch_add(1, Ordering::SeqCst) + 1;
        let tokens = head.field("croftpond-token-usage").unwrap_or("-").to_string();
        append(&settings.record, &format!("worker {id} runs {attempt} {} tokens {tokens}", head.word(1)));
        let fields = format!(
            "Croftpond-Attempt-Id: {attempt}\r\nCroftpond-Response-Signature: {id}.{attempt}\r\n\
             Croftpond-Instance-Load: {now_running},0,{}\r\n",
            settings.slots
        );
        let (prompt, answer) = tokens.split_once(',').unwrap_or(("0", "0"));
        let (prompt, answer): (u64, u32) = (prompt.parse().unwrap_or(0), answer.parse().unwrap_or(0));
        sleep_ms(settings.first_ms);
        {
            // Prompts are read one after the other.
            let _reading = reading.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            sleep_ms(prompt / PROMPT_TOKENS_PER_MS);
        }
        let served = match fails(settings, &attempt) {
            true => {
                append(&settings.record, &format!("worker {id} answers {attempt} with 500"));
                stream.write_all(answer_text(500, &fields, "{}").as_bytes())
            }
            false => {
                let events = (answer / TOKENS_PER_EVENT).clamp(1, settings.events);
                stream_events(settings, &attempt, &fields, events, &mut stream)
            }
        };
        running.fetch_sub(1, Ordering::SeqCst);
        served?;
        if settings.unframed {
            return stream.shutdown(Shutdown::Write);
        }
    }
}

/// Whether a run ends with a 500 of the worker's own, by its draw.
fn fails(settings: &WorkerSettings, attempt: &str) -> bool {
    let bytes = attempt.bytes().chain(settings.id.bytes());
    let mixed = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    (mixed >> 20) % 100 < settings.error_percent
}

fn stream_events(
    settings: &WorkerSettings,
    attempt: &str,
    fields: &str,
    events: u32,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    let framing = match settings.unframed {
        true => "Connection: close\r\n",
        false => "Transfer-Encoding: chunked\r\n",
    };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{fields}{framing}\r\n");
    stream.write_all(head.as_bytes())?;
    for number in 1..=events {
        if number > 1 {
            sleep_ms(settings.gap_ms);
        }
        let is_last = number == events;
        let event = format!("id: {number}\ndata: {attempt} {number} of {events}{}\n\n", if is_last { " last" } else { "" });
        let bytes = match settings.unframed {
            true => event,
            false => format!("{:x}\r\n{event}\r\n", event.len()),
        };
        stream.write_all(bytes.as_bytes())?;
        if settings.unframed || is_last {
            append(&settings.record, &format!("worker {} made {attempt} {number} of {events}", settings.id));
        }
    }
    match settings.unframed {
        true => Ok(()),
        false => stream.write_all(b"0\r\n\r\n"),
    }
}

/// Prompt tokens that a worker reads in a millisecond, and tokens of an event, as the sheet of Waitemata tells them.
const PROMPT_TOKENS_PER_MS: u64 = 64;
const TOKENS_PER_EVENT: u32 = 5;

/// A worker's process; it is killed with this value.
struct Worker {
    child: Child,
}

impl Worker {
    fn start(settings: &WorkerSettings) -> std::io::Result<Worker> {
        let program = env::current_exe()?;
        let child = Command::new(program)
            .arg("worker")
            .args(settings.to_args())
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Worker { child })
    }

    /// SIGKILL.
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- a way to a worker that can be cut

/// Passes connections on to a worker. While it is cut, it passes nothing on, and what either end sent, the end of a
/// connection included, arrives once it is whole again.
struct Way {
    is_cut: Arc<AtomicBool>,
    /// Connections that were opened during a cut.
    opened_in_cut: Arc<AtomicUsize>,
    /// Resets by the worker's side.
    resets: Arc<AtomicUsize>,
    address: SocketAddr,
}

impl Way {
    fn start(listen_at: &str, to: &str) -> std::io::Result<Way> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let opened_in_cut = Arc::new(AtomicUsize::new(0));
        let resets = Arc::new(AtomicUsize::new(0));
        let (cut, opened, reset) = (Arc::clone(&is_cut), Arc::clone(&opened_in_cut), Arc::clone(&resets));
        let to = to.to_string();
        let address = listen(listen_at, move |near| {
            if cut.load(Ordering::SeqCst) {
                opened.fetch_add(1, Ordering::SeqCst);
            }
            wait_while(&cut);
            let Ok(far) = TcpStream::connect(&to) else {
                return;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                return;
            };
            let (cut_copy, unused) = (Arc::clone(&cut), Arc::new(AtomicUsize::new(0)));
            thread::spawn(move || pass(near_copy, far_copy, &cut_copy, &unused));
            pass(far, near, &cut, &reset);
        })?;
        Ok(Way {
            is_cut,
            opened_in_cut,
            resets,
            address,
        })
    }

    fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_while(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        sleep_ms(2);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool, resets: &AtomicUsize) {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = from.read(&mut buffer);
        wait_while(is_cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(error) => {
                if error.kind() == ErrorKind::ConnectionReset {
                    resets.fetch_add(1, Ordering::SeqCst);
                }
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- gateways and what surrounds them

const CALLERS_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;

struct Gateway {
    name: String,
    callers: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Gateway {
    fn start(&self) -> std::io::Result<()> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .env("CROFTPOND_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// SIGKILL.
    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// What the process wrote to standard error last.
    fn last_words(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| !line.starts_with('{'));
        lines.take(3).collect::<Vec<_>>().join(" | ")
    }

    fn is_ready(&self) -> bool {
        let request = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let asked = || -> std::io::Result<bool> {
            let mut stream = connect(&self.ready, 500)?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(request.as_bytes())?;
            let head = Head::read(&mut BufReader::new(stream))?;
            Ok(head.word(1) == "200")
        };
        asked().unwrap_or(false)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn connect(address: &str, ms: u64) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
    TcpStream::connect_timeout(&address, Duration::from_millis(ms))
}

struct World {
    record: PathBuf,
    temporary: PathBuf,
    program: PathBuf,
    template: String,
    store: Arc<Store>,
    store_address: SocketAddr,
    duties_address: SocketAddr,
    net: String,
    next_attempt: AtomicU64,
}

impl World {
    fn new(folder: &Path) -> Option<World> {
        let root = env::current_dir().ok()?;
        let record = folder.join("record.txt");
        File::create(&record).ok()?;
        let process = std::process::id();
        let temporary = env::temp_dir().join(format!("croftpond-review-{process}"));
        fs::create_dir_all(&temporary).ok()?;
        let (store, store_address) = Store::start().ok()?;
        let noted = record.clone();
        let duties_address = listen("127.0.0.1:0", move |stream| {
            let _ = take_duties(&noted, stream);
        });
        Some(World {
            record,
            temporary,
            program: root.join("target/release/croftpond"),
            template: fs::read_to_string(root.join("deploy/gateway.ini")).ok()?,
            store,
            store_address,
            duties_address: duties_address.ok()?,
            net: format!("127.{}.{}", 64 + process % 128, process / 128 % 250),
            next_attempt: AtomicU64::new(1),
        })
    }

    fn note(&self, text: &str) {
        append(&self.record, text);
    }

    fn attempt(&self) -> String {
        format!("a{:08x}", self.next_attempt.fetch_add(1, Ordering::SeqCst))
    }

    fn ip(&self, index: usize) -> String {
        format!("{}.{}", self.net, index + 1)
    }

    /// Creates gateways, one in each zone.
    fn gateways(&self, zones: &[&str]) -> std::io::Result<Vec<Gateway>> {
        let seeds: Vec<String> = (0..zones.len().min(3)).map(|i| format!("{}:8229", self.ip(i))).collect();
        let halls: String = zones.iter().map(|zone| format!("{zone}:akl,")).collect();
        let create = |index: usize| {
            let (ip, zone) = (self.ip(index), zones[index]);
            let name = format!("frontend-{zone}-1");
            let values = [
                ("nodeName", name.clone()),
                ("region", "akl".into()),
                ("zone", zone.into()),
                ("limits.cpuFraction", "0.25".into()),
                ("ip", ip.clone()),
                ("listenAddresses.frontend", format!("{ip}:{CALLERS_PORT}")),
                ("listenAddresses.ready", format!("{ip}:{READY_PORT}")),
                ("internalPortRange", "7600,7615".into()),
                ("seedNodes", seeds.join(",")),
                ("platform.address", self.store_address.to_string()),
                ("cloudApi.address", self.duties_address.to_string()),
                ("limits.fileDescriptors", "4100".into()),
                ("limits.memoryMb", "260".into()),
                ("bounds.revokeMs", "5000".into()),
                ("bounds.configApplyMs", "2000".into()),
                ("bounds.gracePeriodS", "8".into()),
                ("bounds.retryBudgetRatio", "0.2".into()),
                ("bounds.retryBudgetExtra", "56".into()),
                ("bounds.budgetWindowS", "10".into()),
                ("bounds.quotaTolerance", "140000".into()),
                ("bounds.leaseMs", "3000".into()),
                ("bounds.windowS", "5".into()),
                ("bounds.usageDelayS", "10".into()),
            ];
            let settings = self.temporary.join(format!("{name}.ini"));
            fs::write(&settings, filled(&self.template, &halls, &values))?;
            Ok(Gateway {
                callers: format!("{ip}:{CALLERS_PORT}"),
                ready: format!("{ip}:{READY_PORT}"),
                settings,
                log: self.temporary.join(format!("{name}.log")),
                program: self.program.clone(),
                child: Mutex::new(None),
                name,
            })
        };
        (0..zones.len()).map(create).collect()
    }

    /// Waits until all gateways are ready.
    fn wait_ready(&self, gateways: &[Gateway], seconds: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            if gateways.iter().all(Gateway::is_ready) {
                return true;
            }
            sleep_ms(100);
        }
        self.note("not all gateways became ready");
        false
    }

    /// Writes a worker's own row.
    fn put_worker(&self, id: &str, service: &str, zone: &str, address: &str, slots: u32, state: &str) {
        let row = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1}}"
        );
        self.store.put("servers", id, Some(&row));
        self.note(&format!("store: worker {id} is in its table as {state}, at {address}"));
    }

    /// Removes a worker's row, as the store does after three heartbeats of silence.
    fn drop_worker(&self, id: &str) {
        self.store.put("servers", id, None);
        self.note(&format!("store: worker {id} is gone from its table"));
    }

    fn put_configuration(&self, text: &str) {
        self.store.put("op", "config", Some(text));
        self.note("store: a configuration is acknowledged");
    }

    fn end(&self) {
        let keep = env::var("KEEP").is_ok();
        if keep {
            println!("logs: {}", self.temporary.display());
        } else {
            let _ = fs::remove_dir_all(&self.temporary);
        }
    }
}

// Fills the template of the settings like the platform: the list of zones by hand, all other gaps by name.
fn filled(template: &str, halls: &str, values: &[(&str, String)]) -> String {
    let mut text = template.replace("{{#zones}}{{@}}:{{.}},{{/zones}}", halls);
    text = text.replace("{{#cloudApi.duties}}{{.}},{{/cloudApi.duties}}", "usage_reporting,");
    text = text.replace("{{#bounds.revokeFailClosed}}", "").replace("{{/bounds.revokeFailClosed}}", "");
    if let (Some(from), Some(to)) = (text.find("{{#bounds.exposureFraction}}"), text.find("{{/bounds.exposureFraction}}")) {
        text.replace_range(from..to + "{{/bounds.exposureFraction}}".len(), "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

fn take_duties(record: &Path, stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let head = Head::read(&mut reader)?;
        let body = read_body(&mut reader, head.length())?;
        let field = |name: &str| head.field(name).unwrap_or("-").to_string();
        append(record, &format!("duties: {} {} {}", field("croftpond-duty-holder"), field("croftpond-fencing-token"), String::from_utf8_lossy(&body)));
        stream.write_all(answer_text(200, "", "{}").as_bytes())?;
    }
}

// ---------------------------------------------------------------- clients

/// What a client saw of one request.
#[derive(Clone, Debug, Default)]
struct Seen {
    attempt: String,
    status: u16,
    signature: String,
    retry_after: String,
    events: Vec<u32>,
    /// Whether the answer ended as complete.
    is_whole: bool,
}

/// A client's connection.
type Connection = Option<BufReader<TcpStream>>;

/// Sends a request on a new connection and reads its answer.
fn ask(gateway: &str, attempt: &str, path: &str, fields: &str, deadline_ms: u64) -> Seen {
    ask_on(&mut None, gateway, attempt, path, fields, deadline_ms)
}

/// Sends a request on a connection, or on a new one if there is none, and reads its answer. The connection is kept if the
/// answer is whole.
fn ask_on(connection: &mut Connection, gateway: &str, attempt: &str, path: &str, fields: &str, deadline_ms: u64) -> Seen {
    let mut seen = Seen {
        attempt: attempt.to_string(),
        ..Seen::default()
    };
    let asked = ask_into(&mut seen, connection.take(), gateway, path, fields, deadline_ms);
    *connection = asked.ok();
    seen
}

fn ask_into(
    seen: &mut Seen,
    kept: Connection,
    gateway: &str,
    path: &str,
    fields: &str,
    deadline_ms: u64,
) -> std::io::Result<BufReader<TcpStream>> {
    let mut reader = match kept {
        Some(reader) => reader,
        None => {
            let stream = connect(gateway, 1000)?;
            stream.set_nodelay(true)?;
            // A client gives up at its deadline.
            stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1000)))?;
            BufReader::new(stream)
        }
    };
    let attempt = &seen.attempt;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nCroftpond-Attempt-Id: {attempt}\r\n\
         Croftpond-Deadline-Ms: {deadline_ms}\r\n{fields}Content-Length: {}\r\n\r\n{attempt}",
        attempt.len()
    );
    reader.get_mut().write_all(request.as_bytes())?;
    let head = Head::read(&mut reader)?;
    seen.status = head.word(1).parse().unwrap_or(0);
    seen.signature = head.field("croftpond-response-signature").unwrap_or_default().into();
    seen.retry_after = head.field("retry-after").unwrap_or_default().into();
    let closes = head.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let ended = |reader| match closes {
        true => Err(ErrorKind::ConnectionAborted.into()),
        false => Ok(reader),
    };
    if head.field("transfer-encoding").is_none() {
        read_body(&mut reader, head.length())?;
        seen.is_whole = true;
        return ended(reader);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
        body.extend(read_body(&mut reader, length)?);
        read_body(&mut reader, 2)?;
        let text = String::from_utf8_lossy(&body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        seen.events = ids.collect();
        if length == 0 {
            seen.is_whole = true;
            return ended(reader);
        }
    }
}

mod cases;
