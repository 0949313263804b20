//! A model engine: slots, a token rate, an LRU prefix cache, streams that can be resumed.
//!
//! The answer to a prompt is a function of the prompt alone, so that a test can distinguish a token that
//! was skipped, doubled or taken from another answer.

use std::collections::{HashMap, HashSet};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use lru::LruCache;
use tiny_http::Request;
use transport::{CacheEventBody, ChunkLine, GenerateBody, LoadBody, OrderBody};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::server::{answer, body_of, parameter, Standin};

const BLOCK_BYTES: usize = 256;
const TOKENS_PER_BLOCK: u64 = 64;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Requests it runs at once.
    pub slots: usize,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Prefill time of one token that is not cached.
    pub prefill_per_token: Duration,
    /// Blocks its prefix cache holds.
    pub cache_blocks: usize,
    /// Whether it checks the fence of an order.
    pub checks_fence: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            slots: 16,
            token_interval: Duration::from_millis(1),
            prefill_per_token: Duration::ZERO,
            cache_blocks: 4096,
            checks_fence: true,
        }
    }
}

struct State {
    options: EngineOptions,
    running: usize,
    queued: usize,
    next_stream: u64,
    cancelled: HashSet<String>,
    cache: LruCache<u64, ()>,
    changes: Vec<CacheEventBody>,
    // Number of tokens after which streams wait until released.
    hold_after: Option<u64>,
    // Number of tokens after which a stream breaks off, once.
    break_after: Option<u64>,
    refusing: bool,
    leaving_in_ms: Option<u64>,
    incarnation: i64,
    epoch: i64,
    models: Vec<String>,
    runs: HashMap<String, u32>,
    prefilled: u64,
    recomputed: u64,
    imports: u64,
    cancels: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_while(&self, condition: impl Fn(&State) -> bool) {
        let guard = self.lock();
        drop(self.changed.wait_while(guard, |s| condition(s)));
    }

    fn set(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }
}

/// A running engine.
pub struct ModelEngine {
    shared: Arc<Shared>,
    standin: Standin,
}

/// The token at `offset` of the answer to a prompt.
pub fn answer_token(prompt: &[String], offset: u64) -> String {
    let seed = xxh3_64_with_seed(prompt.concat().as_bytes(), 7);
    format!(
        " {:04x}-{offset}",
        (seed ^ offset.wrapping_mul(0x9e37)) & 0xffff
    )
}

impl ModelEngine {
    /// Starts an engine.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let blocks = NonZeroUsize::new(options.cache_blocks).unwrap_or(NonZeroUsize::MIN);
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                options,
                running: 0,
                queued: 0,
                next_stream: 0,
                cancelled: HashSet::new(),
                cache: LruCache::new(blocks),
                changes: Vec::new(),
                hold_after: None,
                break_after: None,
                refusing: false,
                leaving_in_ms: None,
                incarnation: 1,
                epoch: 0,
                models: Vec::new(),
                runs: HashMap::new(),
                prefilled: 0,
                recomputed: 0,
                imports: 0,
                cancels: 0,
            }),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&shared);
        let standin = Standin::start(move |request| handle(&serving, request))?;
        Ok(ModelEngine { shared, standin })
    }

    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Makes streams wait after this many tokens.
    pub fn hold_after(&self, tokens: u64) {
        self.shared.set(|s| s.hold_after = Some(tokens));
    }

    /// Lets held streams go on.
    pub fn release(&self) {
        self.shared.set(|s| s.hold_after = None);
    }

    /// Breaks the next stream that comes to this many tokens.
    pub fn break_after(&self, tokens: u64) {
        self.shared.set(|s| s.break_after = Some(tokens));
    }

    /// Refuses new streams, with proof that they did not start, or takes them again.
    pub fn refuse(&self, refusing: bool) {
        self.shared.set(|s| s.refusing = refusing);
    }

    /// Gives the engine's VM a reclaim notice.
    pub fn give_notice(&self, left: Duration) {
        self.shared
            .set(|s| s.leaving_in_ms = Some(left.as_millis() as u64));
    }

    /// Replaces the engine's VM.
    pub fn replace(&self) {
        self.shared.set(|s| {
            s.leaving_in_ms = None;
            s.incarnation += 1;
        });
    }

    /// Blocks until this many requests run.
    pub fn wait_running(&self, count: usize) {
        self.shared.wait_while(|s| s.running != count);
    }

    /// Blocks until this many streams were cancelled.
    pub fn wait_cancels(&self, count: u64) {
        self.shared.wait_while(|s| s.cancels < count);
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.shared.lock().running
    }

    /// How often each request id was started here.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.shared.lock().runs.clone()
    }

    /// Tokens prefilled without the cache, and those of them computed before elsewhere.
    pub fn prefilled(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.prefilled, state.recomputed)
    }

    /// Streams that began with the KV cache of another engine.
    pub fn imports(&self) -> u64 {
        self.shared.lock().imports
    }

    /// Models ordered so far.
    pub fn models(&self) -> Vec<String> {
        self.shared.lock().models.clone()
    }
}

fn handle(shared: &Shared, mut request: Request) {
    let body = body_of(&mut request);
    match request.url() {
        "/generate" => generate(shared, request, &body),
        "/cancel" => cancel(shared, request, &body),
        "/load" => load(shared, request),
        "/orders" => order(shared, request, &body),
        url if url.starts_with("/cache-events?") => cache_events(shared, request),
        url if url.starts_with("/kv?") => export(shared, request),
        _ => answer(request, 404, String::new()),
    }
}

fn generate(shared: &Shared, request: Request, body: &str) {
    let Ok(body) = serde_json::from_str::<GenerateBody>(body) else {
        return answer(request, 400, "bad body".into());
    };
    if shared.lock().refusing {
        return answer(request, 503, "{\"started\":false}".into());
    }
    let stream = enter(shared, &body);
    let mut writer = request.into_writer();
    let _ = write_stream(shared, &body, &stream, &mut writer);
    shared.set(|s| s.running -= 1);
}

// Waits for a slot, then for the prefill.
fn enter(shared: &Shared, body: &GenerateBody) -> String {
    let imported = import(body);
    shared.set(|s| {
        s.queued += 1;
        s.imports += u64::from(imported);
    });
    shared.wait_while(|s| s.running >= s.options.slots);
    let mut prefill = Duration::ZERO;
    let mut stream = String::new();
    shared.set(|s| {
        s.queued -= 1;
        s.running += 1;
        *s.runs.entry(body.request.clone()).or_default() += 1;
        s.next_stream += 1;
        stream = format!("s{}", s.next_stream);
        let kept = body.resume.as_ref().is_some_and(|stream| s.knows(stream));
        prefill = if imported || kept {
            Duration::ZERO
        } else {
            prefill_time(s, body)
        };
    });
    thread::sleep(prefill);
    stream
}

// A stream kept here, or the KV cache of one that another engine still has, needs no prefill.
fn import(body: &GenerateBody) -> bool {
    let (Some(address), Some(stream)) = (&body.kv_address, &body.kv_stream) else {
        return false;
    };
    let answer = minreq::get(format!("http://{address}/kv?stream={stream}"))
        .with_timeout(2)
        .send();
    answer.is_ok_and(|r| r.status_code == 200)
}

fn export(shared: &Shared, request: Request) {
    let stream = parameter(request.url(), "stream").unwrap_or_default();
    let status = if shared.lock().knows(&stream) {
        200
    } else {
        404
    };
    answer(request, status, String::new());
}

fn cache_events(shared: &Shared, request: Request) {
    let after = parameter(request.url(), "after")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let state = shared.lock();
    let newer: Vec<&CacheEventBody> = state
        .changes
        .iter()
        .filter(|c| c.sequence > after)
        .collect();
    let body = serde_json::to_string(&newer).unwrap_or_default();
    drop(state);
    answer(request, 200, body);
}

impl State {
    fn store(&mut self, block: u64) {
        let evicted = self.cache.push(block, ()).map(|(block, ())| block);
        let stored = CacheEventBody {
            stored: vec![block],
            ..CacheEventBody::default()
        };
        let evicted = evicted.map(|block| CacheEventBody {
            evicted: vec![block],
            ..CacheEventBody::default()
        });
        for change in [Some(stored), evicted].into_iter().flatten() {
            let sequence = self.changes.len() as u64 + 1;
            self.changes.push(CacheEventBody { sequence, ..change });
        }
    }

    fn knows(&self, stream: &str) -> bool {
        let number = stream.strip_prefix('s').and_then(|n| n.parse::<u64>().ok());
        number.is_some_and(|n| n >= 1 && n <= self.next_stream)
    }
}

fn prefill_time(state: &mut State, body: &GenerateBody) -> Duration {
    let text = body.prompt.concat();
    let mut previous = 0;
    let mut missing = 0;
    for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        previous = xxh3_64_with_seed(block, previous);
        if state.cache.get(&previous).is_none() {
            missing += TOKENS_PER_BLOCK;
            state.store(previous);
        }
    }
    let again = body.received.len() as u64;
    state.prefilled += missing + again;
    if body.attempt > 1 || again > 0 {
        state.recomputed += missing + again;
    }
    state.options.prefill_per_token * (missing + again) as u32
}

fn write_stream(
    shared: &Shared,
    body: &GenerateBody,
    stream: &str,
    writer: &mut (impl Write + ?Sized),
) -> io::Result<()> {
    writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n")?;
    writer.write_all(b"Connection: close\r\n\r\n")?;
    write_line(writer, &ChunkLine::Stream(stream.to_string()))?;
    let interval = shared.lock().options.token_interval;
    for offset in body.from..u64::from(body.max_tokens) {
        shared.wait_while(|s| {
            s.hold_after.is_some_and(|n| offset >= n) && !s.cancelled.contains(stream)
        });
        if shared.lock().cancelled.contains(stream) || breaks(shared, offset) {
            return Ok(());
        }
        thread::sleep(interval);
        let text = answer_token(&body.prompt, offset);
        write_line(writer, &ChunkLine::Token { offset, text })?;
    }
    write_line(writer, &ChunkLine::End(u64::from(body.max_tokens)))
}

fn breaks(shared: &Shared, offset: u64) -> bool {
    let mut state = shared.lock();
    let due = state.break_after.is_some_and(|n| offset >= n);
    if due {
        state.break_after = None;
    }
    due
}

fn write_line(writer: &mut (impl Write + ?Sized), line: &ChunkLine) -> io::Result<()> {
    let json = serde_json::to_string(line).map_err(io::Error::other)?;
    writer.write_all(json.as_bytes())?;
    writer.write_all(b"\n")?;
    writer.flush()
}

fn cancel(shared: &Shared, request: Request, body: &str) {
    let stream = serde_json::from_str::<serde_json::Value>(body)
        .ok()
        .and_then(|v| v["stream"].as_str().map(str::to_string));
    let Some(stream) = stream else {
        return answer(request, 400, "no stream".into());
    };
    shared.set(|s| {
        s.cancels += 1;
        s.cancelled.insert(stream);
    });
    answer(request, 200, "{}".into());
}

fn load(shared: &Shared, request: Request) {
    let state = shared.lock();
    let body = LoadBody {
        running: state.running as u32,
        queued: state.queued as u32,
        incarnation: state.incarnation,
        leaving_in_ms: state.leaving_in_ms,
    };
    drop(state);
    answer(
        request,
        200,
        serde_json::to_string(&body).unwrap_or_default(),
    );
}

fn order(shared: &Shared, request: Request, body: &str) {
    let Ok(order) = serde_json::from_str::<OrderBody>(body) else {
        return answer(request, 400, "bad order".into());
    };
    let mut state = shared.lock();
    if state.options.checks_fence && order.epoch < state.epoch {
        drop(state);
        return answer(request, 409, "stale epoch".into());
    }
    state.epoch = order.epoch;
    if !state.models.contains(&order.model) {
        state.models.push(order.model);
    }
    drop(state);
    answer(request, 200, "{}".into());
}
