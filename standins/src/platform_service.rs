//! The platform: table, object store, and cloud API with VM list and notices, on one address.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use provider::{ReclaimNotice, RowBody, TransactBody, Vm, VmOrder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tiny_http::{Method, Request};

use crate::server::{answer, body_of, parameter, Standin};

/// Faults of the platform, in thousandths of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls that take no effect and get no answer.
    pub lost_milli: u32,
    /// Calls that take effect and get no answer.
    pub lost_answer_milli: u32,
    /// Calls refused by the rate limit.
    pub refused_milli: u32,
}

struct State {
    rows: BTreeMap<String, RowBody>,
    objects: HashMap<String, String>,
    vms: BTreeMap<String, Vm>,
    notices: Vec<ReclaimNotice>,
    refuse_starts: bool,
    faults: Faults,
    rng: ChaCha8Rng,
    table_calls: u64,
}

/// A running platform.
pub struct PlatformService {
    state: Arc<Mutex<State>>,
    standin: Standin,
}

impl PlatformService {
    /// Starts a platform with empty table and store.
    pub fn start(seed: u64) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            rows: BTreeMap::new(),
            objects: HashMap::new(),
            vms: BTreeMap::new(),
            notices: Vec::new(),
            refuse_starts: false,
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            table_calls: 0,
        }));
        let serving = Arc::clone(&state);
        let standin = Standin::start(move |request| handle(&serving, request))?;
        Ok(PlatformService { state, standin })
    }

    /// Address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.with(|s| s.faults = faults);
    }

    /// Refuses or allows starts of VMs.
    pub fn refuse_starts(&self, refuse: bool) {
        self.with(|s| s.refuse_starts = refuse);
    }

    /// Gives a VM a reclaim notice.
    pub fn give_notice(&self, vm: &str, leaving_in_ms: u64) {
        self.with(|s| {
            let sequence = s.notices.len() as u64 + 1;
            s.notices.push(ReclaimNotice {
                sequence,
                vm: vm.to_string(),
                leaving_in_ms,
            });
        });
    }

    /// Calls made to the table.
    pub fn table_calls(&self) -> u64 {
        self.with(|s| s.table_calls)
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

type Answer = (u16, String);

fn handle(state: &Mutex<State>, mut request: Request) {
    let body = body_of(&mut request);
    let url = request.url().to_string();
    let method = request.method().clone();
    let reply = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        reply_with_faults(&mut state, &method, &url, &body)
    };
    match reply {
        Some((status, body)) => answer(request, status, body),
        None => drop(request.into_writer()),
    }
}

fn reply_with_faults(state: &mut State, method: &Method, url: &str, body: &str) -> Option<Answer> {
    let draw = state.rng.random_range(0..1000);
    let faults = state.faults;
    let lost = faults.lost_milli;
    let lost_answer = lost + faults.lost_answer_milli;
    if draw < lost {
        return None;
    }
    if draw >= lost_answer && draw < lost_answer + faults.refused_milli {
        return Some((429, String::new()));
    }
    let reply = reply(state, method, url, body);
    (draw >= lost_answer).then_some(reply)
}

fn reply(state: &mut State, method: &Method, url: &str, body: &str) -> Answer {
    let path = url.split('?').next().unwrap_or_default();
    match (method, path) {
        (Method::Get, "/row") => read_row(state, url),
        (Method::Post, "/transact") => transact(state, body),
        (Method::Get, "/vms") => list_vms(state),
        (Method::Post, "/vms") => buy(state, body),
        (Method::Get, "/notices") => notices(state, url),
        (Method::Delete, path) => give_back(state, path),
        (Method::Put, path) => put_object(state, path, body),
        (Method::Get, path) => get_object(state, path),
        _ => (404, String::new()),
    }
}

fn read_row(state: &mut State, url: &str) -> Answer {
    state.table_calls += 1;
    let key = parameter(url, "key").unwrap_or_default();
    match state.rows.get(&key) {
        Some(row) => (200, serde_json::to_string(row).unwrap_or_default()),
        None => (404, String::new()),
    }
}

fn transact(state: &mut State, body: &str) -> Answer {
    state.table_calls += 1;
    let Ok(body) = serde_json::from_str::<TransactBody>(body) else {
        return (400, String::new());
    };
    let version = |key: &str| state.rows.get(key).map_or(0, |row| row.version);
    if body.writes.iter().any(|w| version(&w.key) != w.expect) {
        return (409, String::new());
    }
    for write in body.writes {
        let version = write.expect + 1;
        state.rows.insert(
            write.key,
            RowBody {
                version,
                value: write.value,
            },
        );
    }
    (200, String::new())
}

fn list_vms(state: &State) -> Answer {
    let vms: Vec<&Vm> = state.vms.values().collect();
    (200, serde_json::to_string(&vms).unwrap_or_default())
}

fn buy(state: &mut State, body: &str) -> Answer {
    let Ok(order) = serde_json::from_str::<VmOrder>(body) else {
        return (400, String::new());
    };
    if state.vms.contains_key(&order.name) {
        return (409, String::new());
    }
    if state.refuse_starts {
        return (503, String::new());
    }
    let vm = Vm {
        name: order.name.clone(),
        hall: order.hall,
        pool: order.pool,
        on_demand: order.on_demand,
        address: String::new(),
        leaving: false,
    };
    state.vms.insert(order.name, vm);
    (201, String::new())
}

fn notices(state: &State, url: &str) -> Answer {
    let after = parameter(url, "after")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let newer: Vec<&ReclaimNotice> = state
        .notices
        .iter()
        .filter(|n| n.sequence > after)
        .collect();
    (200, serde_json::to_string(&newer).unwrap_or_default())
}

fn give_back(state: &mut State, path: &str) -> Answer {
    let name = path.trim_start_matches("/vms/");
    match state.vms.remove(name) {
        Some(_) => (200, String::new()),
        None => (404, String::new()),
    }
}

fn put_object(state: &mut State, path: &str, body: &str) -> Answer {
    state.objects.insert(path.to_string(), body.to_string());
    (200, String::new())
}

fn get_object(state: &State, path: &str) -> Answer {
    match state.objects.get(path) {
        Some(body) => (200, body.clone()),
        None => (404, String::new()),
    }
}
