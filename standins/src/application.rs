//! A plain service whose calls must not be repeated, such as holds or payments.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};

use tiny_http::Request;

use crate::server::{answer, body_of, Standin};

/// How an application behaves; all off by default.
#[derive(Clone, Debug, Default)]
pub struct ApplicationOptions {
    /// Runs the call, then breaks the connection without an answer.
    pub lose_answers: bool,
    /// Waits in the call until released.
    pub hold: bool,
}

#[derive(Default)]
struct State {
    options: ApplicationOptions,
    runs: HashMap<String, u32>,
    running: u32,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running application.
pub struct Application {
    shared: Arc<Shared>,
    standin: Standin,
}

impl Application {
    /// Starts an application.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let serving = Arc::clone(&shared);
        let standin = Standin::start(move |request| handle(&serving, request))?;
        Ok(Application { shared, standin })
    }

    /// Address of the application.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Changes its behaviour.
    pub fn set(&self, options: ApplicationOptions) {
        self.with(|s| s.options = options);
    }

    /// Blocks until this many calls are under way.
    pub fn wait_running(&self, count: u32) {
        let guard = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        drop(
            self.shared
                .changed
                .wait_while(guard, |s| s.running != count),
        );
    }

    /// How often each path was run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.with(|s| s.runs.clone())
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        with(&self.shared, f)
    }
}

fn with<T>(shared: &Shared, f: impl FnOnce(&mut State) -> T) -> T {
    let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    let result = f(&mut state);
    drop(state);
    shared.changed.notify_all();
    result
}

fn handle(shared: &Shared, mut request: Request) {
    let body = body_of(&mut request);
    if request.url() == "/load" {
        let running = with(shared, |s| s.running);
        let load = serde_json::json!({ "running": running, "queued": 0, "incarnation": 1 });
        return answer(request, 200, load.to_string());
    }
    let path = request.url().to_string();
    let run = with(shared, |s| {
        s.running += 1;
        let runs = s.runs.entry(path.clone()).or_default();
        *runs += 1;
        *runs
    });
    let guard = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    let guard = shared.changed.wait_while(guard, |s| s.options.hold);
    drop(guard);
    let lose = with(shared, |s| {
        s.running -= 1;
        s.options.lose_answers
    });
    if lose {
        // Dropping the writer of a connection that closes breaks it without an answer.
        drop(request.into_writer());
        return;
    }
    let reply = serde_json::json!({ "path": path, "run": run, "got": body.len() });
    answer(request, 200, reply.to_string());
}
