//! A whole small fleet in one process: entry nodes, engines, an application and the platform.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use error_stack::{Report, ResultExt};
use node::{Node, NodeError, Platform};
use slog::Logger;

use crate::{Application, EngineOptions, ModelEngine, PlatformService};

/// Credential of the fleet's team `desk`.
pub const CREDENTIAL: &str = "desk-credential";
/// Credential of the fleet's team `drafts`, which runs in the batch class.
pub const DRAFTS_CREDENTIAL: &str = "drafts-credential";
/// Key of all nodes, for every purpose.
pub const KEY: &str = "fleet-key-0123456789";

/// Size and parts of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Entry nodes.
    pub nodes: usize,
    /// Model engines; engine n stands in data hall `hall-{n % halls}`.
    pub engines: Vec<EngineOptions>,
    /// Data halls.
    pub halls: usize,
    /// Lines added to the settings of each node.
    pub settings: String,
    /// Lines added to the configuration.
    pub configuration: String,
    /// Keys of team `desk` that replace those of its template.
    pub desk: String,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            nodes: 2,
            engines: vec![EngineOptions::default(); 3],
            halls: 2,
            settings: String::new(),
            configuration: String::new(),
            desk: String::new(),
        }
    }
}

/// A running fleet; everything stops when it is dropped.
pub struct Fleet {
    /// Entry nodes.
    pub nodes: Vec<Node>,
    /// Model engines.
    pub engines: Vec<ModelEngine>,
    /// The application behind `/holds/`.
    pub application: Application,
    /// The platform.
    pub platform: PlatformService,
    /// Text of the first configuration.
    pub configuration: String,
    bootstrap: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.bootstrap);
    }
}

impl Fleet {
    /// Starts a fleet and waits until its nodes are ready.
    pub fn start(options: &FleetOptions, log: &Logger) -> Result<Self, Report<NodeError>> {
        let start = |o: &EngineOptions| ModelEngine::start(o.clone());
        let engines: Vec<ModelEngine> = options
            .engines
            .iter()
            .map(start)
            .collect::<Result<_, _>>()
            .change_context(NodeError)?;
        let application = Application::start().change_context(NodeError)?;
        let platform = PlatformService::start(1).change_context(NodeError)?;
        let configuration = configuration(options, &engines, &application);
        let bootstrap = temporary_file();
        std::fs::write(&bootstrap, &configuration).change_context(NodeError)?;
        let mut fleet = Fleet {
            nodes: Vec::new(),
            engines,
            application,
            platform,
            configuration,
            bootstrap,
        };
        for number in 0..options.nodes {
            let node = fleet.start_node(number, options, log)?;
            fleet.nodes.push(node);
        }
        while !fleet.nodes.iter().all(Node::is_ready) {
            std::thread::yield_now();
        }
        Ok(fleet)
    }

    /// Starts one more node.
    pub fn start_node(
        &self,
        number: usize,
        options: &FleetOptions,
        log: &Logger,
    ) -> Result<Node, Report<NodeError>> {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .map(|n| n.peer_address().to_string())
            .collect();
        let bootstrap = self.bootstrap.display().to_string();
        let text = self.node_settings(number, options, &bootstrap, &seeds);
        let settings = settings::read_node("fleet", &text).change_context(NodeError)?;
        let platform = Platform::of(&settings);
        Node::start(settings, platform, log.clone())
    }

    /// Settings of a node of this fleet.
    pub fn node_settings(
        &self,
        number: usize,
        options: &FleetOptions,
        bootstrap: &str,
        seeds: &[String],
    ) -> String {
        let url = format!("http://{}", self.platform.address());
        let hall = number % options.halls.max(1);
        let halls: Vec<String> = (0..options.halls.max(1))
            .map(|n| format!("hall-{n}"))
            .collect();
        format!(
            "[node]\nname = entry-{number}\nregion = home\nhall = hall-{hall}\n\
             listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\nbootstrap = {bootstrap}\n\
             cell = home\ncell_halls = {}\nseeds = {}\n\
             [keys]\npeer_key = {KEY}\nresume_key = {KEY}\noperator_key = {KEY}\n\
             [platform]\ntable_url = {url}\nobjects_url = {url}\ncloud_url = {url}\n{}",
            halls.join(","),
            seeds.join(","),
            options.settings,
        )
    }

    /// A call of a node as team `desk`.
    pub fn request(&self, node: usize, method: minreq::Method, path: &str) -> minreq::Request {
        let address = self.nodes[node].address();
        minreq::Request::new(method, format!("http://{address}{path}"))
            .with_header("Authorization", format!("Bearer {CREDENTIAL}"))
    }

    /// Starts a streamed completion.
    pub fn chat(&self, node: usize, content: &str, max_tokens: u32) -> Events {
        self.chat_with(node, content, max_tokens, &[])
    }

    /// Starts a streamed completion with more headers.
    pub fn chat_with(
        &self,
        node: usize,
        content: &str,
        max_tokens: u32,
        headers: &[(&str, &str)],
    ) -> Events {
        let address = self.nodes[node].address();
        let mut request = minreq::post(format!("http://{address}/v1/chat/completions"))
            .with_body(chat_body(content, max_tokens, true));
        if !headers.iter().any(|(name, _)| *name == "Authorization") {
            request = request.with_header("Authorization", format!("Bearer {CREDENTIAL}"));
        }
        for (name, value) in headers {
            request = request.with_header(*name, *value);
        }
        let response = request.send_lazy().expect("the node answers");
        Events {
            status: response.status_code,
            reader: BufReader::new(response),
        }
    }

    /// Goes on with a stream that another node began.
    pub fn resume(
        &self,
        node: usize,
        content: &str,
        max_tokens: u32,
        received: &[String],
        token: &str,
    ) -> Events {
        let body = chat_body(content, max_tokens, true);
        let mut body: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        body["croftpond_received"] = serde_json::json!(received);
        let response = self
            .request(node, minreq::Method::Post, "/v1/chat/completions")
            .with_header("Croftpond-Resume", token)
            .with_body(body.to_string())
            .send_lazy()
            .expect("the node answers");
        Events {
            status: response.status_code,
            reader: BufReader::new(response),
        }
    }

    /// What an operator's call answers.
    pub fn operator(&self, node: usize, path: &str) -> serde_json::Value {
        let address = self.nodes[node].address();
        let response = minreq::get(format!("http://{address}/operator/{path}"))
            .with_header("Authorization", format!("Bearer {KEY}"))
            .send()
            .expect("the node answers");
        serde_json::from_slice(response.as_bytes()).unwrap_or_default()
    }

    /// What `croftpond status` shows.
    pub fn status(&self, node: usize) -> serde_json::Value {
        self.operator(node, "status")
    }

    /// Puts a configuration.
    pub fn put_config(
        &self,
        node: usize,
        based_on: i64,
        body: &str,
        author: &str,
    ) -> minreq::Response {
        let address = self.nodes[node].address();
        minreq::post(format!("http://{address}/operator/config/{based_on}"))
            .with_header("Authorization", format!("Bearer {KEY}"))
            .with_header("Croftpond-Author", author)
            .with_header("Croftpond-Note", "a trial")
            .with_body(body)
            .send()
            .expect("the node answers")
    }

    /// Makes a hold, with an idempotency key or without.
    pub fn hold(&self, node: usize, path: &str, key: Option<&str>) -> minreq::Response {
        let mut request = self
            .request(node, minreq::Method::Post, path)
            .with_body("{}");
        if let Some(key) = key {
            request = request.with_header("Idempotency-Key", key);
        }
        request.send().expect("the node answers")
    }
}

/// Body of a completion request with one message.
pub fn chat_body(content: &str, max_tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": "story",
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": content }],
    })
    .to_string()
}

/// The events of a streamed answer.
pub struct Events {
    /// Status of the answer.
    pub status: u16,
    reader: BufReader<minreq::ResponseLazy>,
}

impl Iterator for Events {
    type Item = String;

    /// The data of the next event; comments are skipped.
    fn next(&mut self) -> Option<String> {
        let mut line = String::new();
        loop {
            line.clear();
            match self.reader.read_line(&mut line) {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
            if let Some(data) = line.trim_end().strip_prefix("data: ") {
                return Some(data.to_string());
            }
            if self.status != 200 && !line.trim().is_empty() {
                return Some(line.trim().to_string());
            }
        }
    }
}

/// Text of one event, if it has any.
pub fn event_text(event: &str) -> Option<String> {
    let event: serde_json::Value = serde_json::from_str(event).ok()?;
    event["choices"][0]["delta"]["content"]
        .as_str()
        .map(str::to_string)
}

fn temporary_file() -> PathBuf {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("croftpond-{}-{count}.ini", std::process::id()))
}

fn configuration(
    options: &FleetOptions,
    engines: &[ModelEngine],
    application: &Application,
) -> String {
    let hash = settings::credential_hash(CREDENTIAL);
    let drafts = settings::credential_hash(DRAFTS_CREDENTIAL);
    let mut text = format!(
        "[pool story]\nkind = model\nroute = story\n\
         [pool holds]\nkind = service\nroute = /holds/\n\
         [template standard]\npriority = interactive\ntarget = 520ms\ndeadline = 30000ms\n\
         pools = story,holds\nrate = 500/s\nconcurrency = 200\nbudget = 100/h\n\
         latency_weight = 70\ntoken_price = 0.02\n\
         [team desk]\ntemplate = standard\ncredential_sha256 = {hash}\n{}\n\
         [team drafts]\ntemplate = standard\npriority = batch\ncredential_sha256 = {drafts}\n\
         [endpoint holds-1]\npool = holds\naddress = {}\nhall = hall-0\nprice = 0.2/h\nslots = 32\n",
        options.desk,
        application.address(),
    );
    for hall in 0..options.halls.max(1) {
        text += &format!("[hall hall-{hall}]\nregion = home\n");
    }
    for (n, engine) in engines.iter().enumerate() {
        text += &format!(
            "[endpoint engine-{n}]\npool = story\naddress = {}\nhall = hall-{}\nprice = 1.2/h\n\
             slots = {}\n",
            engine.address(),
            n % options.halls.max(1),
            options.engines[n].slots,
        );
    }
    text + &options.configuration
}
