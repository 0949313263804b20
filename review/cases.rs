//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if it could not run.

use std::sync::Mutex;

use super::*;

const ZONES: [&str; 4] = ["intl-north", "intl-south", "dom-hall", "cargo-depot"];
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const LIMITS: &str = "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";

fn route(name: &str, kind: &str, service: &str, rest: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/{name}/\",\"routeKind\":\"{kind}\",\
         \"service\":\"{service}\",\"public\":false,{rest}}}"
    )
}

fn configuration(version: u32, routes: &[String], tenants: &str) -> String {
    let engine = "\"engine\":{\"slots\":64,\"kvCacheTokens\":569286,\"stride\":5,\"models\":[{\"name\":\"m\"}]}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"chat-llm\",\"healthPath\":\"/health\",\
         \"maxConnections\":370,{engine}}}],{LIMITS},\"tenants\":[{tenants}]}}",
        routes.join(",")
    )
}

fn tenant(rate: u64) -> String {
    format!(
        "{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":0,\"unit\":\"token_stream\",\"uncachedTokens\":200,\
         \"ratePerS\":{rate},\"burst\":{rate}}}"
    )
}

fn start_gateways(world: &World, zones: &[&str]) -> Option<Vec<Gateway>> {
    let gateways = world.gateways(zones).ok()?;
    for gateway in &gateways {
        gateway.start().ok()?;
    }
    world.note(&format!("{} gateways started", gateways.len()));
    Some(gateways)
}

fn worker_settings(world: &World, id: &str, address: String) -> WorkerSettings {
    WorkerSettings {
        id: id.into(),
        address,
        record: world.record.clone(),
        slots: 64,
        first_ms: 200,
        gap_ms: 100,
        events: 60,
        unframed: false,
        error_percent: 0,
    }
}

fn note_seen(world: &World, seen: &Seen) {
    let Seen { attempt, status, signature, events, is_whole, retry_after, .. } = seen;
    let last = events.last().copied().unwrap_or(0);
    world.note(&format!(
        "client: {attempt} got {status} of '{signature}', {} events up to {last}, ended {}{}",
        events.len(),
        if *is_whole { "as complete" } else { "early" },
        if retry_after.is_empty() { String::new() } else { format!(", retry after {retry_after} s") }
    ));
}

/// Case 4. Streams without a length end with their connection. Their worker is cut off for 3 s, crashes behind the cut and
/// starts again there, as a new incarnation.
pub(super) fn stream_of_a_worker_that_starts_again(world: &World, trouble: bool) -> i32 {
    const EVENTS: u32 = 60;
    const WORKERS: usize = 6;
    const STREAMS: usize = 36;
    let rest = "\"timeoutMs\":15000,\"targetLatencyMs\":1200,\"priority\":1,\"maxAttempts\":1,\"stickySessions\":true,\
                \"streamResumption\":false,\"gapAimMs\":500";
    let routes = [route("review", "streaming", "chat-llm", rest)];
    world.put_configuration(&configuration(1, &routes, &tenant(1_000_000)));
    let Some(gateways) = start_gateways(world, &ZONES) else {
        return NOT_RUN;
    };
    let (own, reached) = (format!("{}:9001", world.ip(20)), format!("{}:9000", world.ip(20)));
    let settings = WorkerSettings {
        unframed: true,
        events: EVENTS,
        ..worker_settings(world, "i-7f3a91c2", own.clone())
    };
    let Ok(way) = Way::start(&reached, &own) else {
        return NOT_RUN;
    };
    let Ok(mut worker) = Worker::start(&settings) else {
        return NOT_RUN;
    };
    let address = way.address.to_string();
    world.put_worker(&settings.id, "chat-llm", ZONES[0], &address, 64, "ready");
    // The other workers, which are left alone.
    let mut others = Vec::new();
    for index in 1..WORKERS {
        let other = WorkerSettings {
            id: format!("i-7f3a91{index:02x}"),
            address: format!("{}:9000", world.ip(20 + index)),
            ..settings.clone()
        };
        match Worker::start(&other) {
            Ok(worker) => others.push(worker),
            Err(_) => return NOT_RUN,
        }
        world.put_worker(&other.id, "chat-llm", ZONES[index % 3], &other.address, 64, "ready");
    }
    if !world.wait_ready(&gateways, 15) {
        return NOT_RUN;
    }
    sleep_ms(3000);

    let seen: Vec<Seen> = thread::scope(|scope| {
        let ask_one = |index: usize| {
            let gateway = &gateways[index % gateways.len()];
            let attempt = world.attempt();
            world.note(&format!("client: sends {attempt} to {}", gateway.name));
            // Short and long prompts of their own, which go to engines of their own.
            let prompt = if index % 2 == 0 { 660 } else { 8_660 };
            let fields = format!(
                "Croftpond-Credential: {KEY}\r\nCroftpond-Model: m\r\nCroftpond-Token-Usage: {prompt},300\r\n\
                 Croftpond-Prompt-Prefix: 5c1e{index:02x}a2:200,91bd{index:02x}06:{},e44{index:02x}b7d:250\r\n",
                prompt - 450
            );
            let seen = ask(&gateway.callers, &attempt, "/review/2f", &fields, 15_000);
            note_seen(world, &seen);
            seen
        };
        let clients: Vec<_> = (0..STREAMS).map(|index| scope.spawn(move || ask_one(index))).collect();
        if trouble {
            sleep_ms(1500);
            way.cut(true);
            world.note("trouble: the worker is cut off from all machines");
            sleep_ms(200);
            worker.kill();
            world.note("trouble: the worker crashes behind the cut");
            sleep_ms(2200);
            let again = WorkerSettings {
                id: "i-02d9e6b4".into(),
                ..settings.clone()
            };
            if let Ok(started) = Worker::start(&again) {
                worker = started;
                world.note("trouble: it starts again, as a new incarnation");
                world.put_worker(&again.id, "chat-llm", ZONES[0], &address, 64, "ready");
            }
            sleep_ms(600);
            way.cut(false);
            world.note("trouble: the cut heals, 3 s after it began");
            // The row of the first incarnation goes after three heartbeats of silence.
            sleep_ms(700);
            world.drop_worker(&settings.id);
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect()
    });

    let opened = way.opened_in_cut.load(Ordering::SeqCst);
    let resets = way.resets.load(Ordering::SeqCst);
    world.note(&format!("way: {opened} connections opened during the cut, {resets} resets by the worker's side"));
    if gateways.iter().any(Gateway::has_ended) || opened > 0 || resets > 0 || seen.len() < STREAMS {
        return NOT_RUN;
    }
    let is_short = |seen: &&Seen| seen.events.last().is_none_or(|last| *last < EVENTS);
    let signed = seen.iter().filter(|seen| seen.status == 200 && !seen.signature.is_empty());
    let complete: Vec<&Seen> = signed.filter(|seen| seen.is_whole).collect();
    let short = complete.iter().copied().filter(is_short).count();
    let record = fs::read_to_string(&world.record).unwrap_or_default();
    let at_first = format!("worker {} runs ", settings.id);
    let at_first = record.lines().filter(|line| line.contains(&at_first)).count();
    world.note(&format!(
        "{at_first} streams ran at the worker; {} of all {} ended as complete, {short} of these before their last event",
        complete.len(), seen.len()
    ));
    match short {
        _ if at_first == 0 => NOT_RUN,
        0 if !trouble && complete.len() < seen.len() => NOT_RUN,
        0 => RULE_HELD,
        _ => RULE_BROKEN,
    }
}

/// Case 5. One of twelve workers is emptied and leaves. The others have six tenths of their places taken.
pub(super) fn a_worker_leaves(world: &World, trouble: bool) -> i32 {
    const WORKERS: usize = 12;
    const SLOTS: u32 = 32;
    const USERS: usize = 208;
    const PLAY_MS: u64 = 75_000;
    let rest = "\"timeoutMs\":15000,\"targetLatencyMs\":1200,\"priority\":0,\"maxAttempts\":2,\"stickySessions\":true,\
                \"streamResumption\":true,\"gapAimMs\":500";
    let routes = [route("chat", "streaming", "chat-llm", rest)];
    world.put_configuration(&configuration(1, &routes, &tenant(100_000_000)));
    let Some(gateways) = start_gateways(world, &ZONES[..3]) else {
        return NOT_RUN;
    };
    let mut workers = Vec::new();
    let settings_of = |index: usize| WorkerSettings {
        slots: SLOTS,
        first_ms: 10,
        gap_ms: 30,
        events: 200,
        error_percent: 14,
        ..worker_settings(world, &format!("i-7f3a91{index:02x}"), format!("{}:9000", world.ip(20 + index)))
    };
    for index in 0..WORKERS {
        let settings = settings_of(index);
        match Worker::start(&settings) {
            Ok(worker) => workers.push(worker),
            Err(_) => return NOT_RUN,
        }
        world.put_worker(&settings.id, "chat-llm", ZONES[index % 3], &settings.address, SLOTS, "ready");
    }
    if !world.wait_ready(&gateways, 15) {
        return NOT_RUN;
    }
    sleep_ms(2000);

    let stop = AtomicBool::new(false);
    let unanswered: Mutex<Vec<Seen>> = Mutex::default();
    let (asked, whole) = (AtomicUsize::new(0), AtomicUsize::new(0));
    // The callers are in the zone of one gateway.
    let gateway = &gateways[0];
    let mut has_ended = false;
    thread::scope(|scope| {
        for index in 0..USERS {
            let (stop, unanswered, asked, whole) = (&stop, &unanswered, &asked, &whole);
            scope.spawn(move || {
                sleep_ms(13 * index as u64);
                let mut connection = None;
                // The client's own draws.
                let mut draw = index as u64 + 1;
                while !stop.load(Ordering::SeqCst) {
                    draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    let attempt = world.attempt();
                    // Long and short prompts of their own.
                    let (prompt, answer) = match (draw >> 33) % 5 {
                        0..=2 => (4_500 + (draw >> 40) % 4_000, 380),
                        _ => (300 + (draw >> 40) % 600, 290),
                    };
                    let fields = format!(
                        "Croftpond-Credential: {KEY}\r\nCroftpond-Model: m\r\nCroftpond-Token-Usage: {prompt},{answer}\r\n\
                         Croftpond-Prompt-Prefix: 5c1e07a2:100,{}:{}\r\n",
                        &attempt[1..], prompt - 100
                    );
                    let is_kept = connection.is_some();
                    let seen = ask_on(&mut connection, &gateway.callers, &attempt, "/chat/2f", &fields, 15_000);
                    asked.fetch_add(1, Ordering::SeqCst);
                    if [200, 500].contains(&seen.status) && seen.is_whole {
                        whole.fetch_add(1, Ordering::SeqCst);
                        continue;
                    }
                    note_seen(world, &seen);
                    if is_kept && seen.status == 0 {
                        world.note(&format!("client: {attempt} was sent on a kept connection, which was closed without an answer"));
                        unanswered.lock().unwrap().push(seen);
                    }
                }
            });
        }
        sleep_ms(8000);
        if trouble {
            let leaving = settings_of(WORKERS - 1);
            world.put_worker(&leaving.id, "chat-llm", ZONES[(WORKERS - 1) % 3], &leaving.address, SLOTS, "draining");
            // It serves on until its last stream has ended.
            sleep_ms(6000);
            world.drop_worker(&leaving.id);
            workers.pop();
            world.note("trouble: the worker has left");
        }
        let until = millis() + PLAY_MS;
        while millis() < until && !has_ended {
            sleep_ms(100);
            has_ended = gateways.iter().any(Gateway::has_ended);
        }
        stop.store(true, Ordering::SeqCst);
    });

    let record = fs::read_to_string(&world.record).unwrap_or_default();
    let unanswered = unanswered.lock().unwrap();
    let began = |seen: &&Seen| record.contains(&format!(" runs {} ", seen.attempt));
    let lost = unanswered.iter().filter(began).count();
    let (asked, whole) = (asked.load(Ordering::SeqCst), whole.load(Ordering::SeqCst));
    world.note(&format!(
        "{whole} of {asked} requests got a whole answer; {} on kept connections got none and their connections were closed, \
         {lost} of them after they had been passed on to a sound worker; the gateway wrote: {}",
        unanswered.len(), gateway.last_words()
    ));
    match (lost > 3, whole * 2 > asked || trouble) {
        (true, _) => RULE_BROKEN,
        (false, true) => RULE_HELD,
        (false, false) => NOT_RUN,
    }
}
