//! Nodes as separate processes: killed, stopped as planned, and frozen.

mod common;

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use client::Client;
use common::{answer, wait_until};
use rustix::process::{kill_process, Pid, Signal};
use standins::{EngineOptions, Fleet, FleetOptions, CREDENTIAL, KEY};

/// A node in a process of its own.
struct NodeProcess {
    child: Child,
    address: String,
    files: Vec<PathBuf>,
}

impl NodeProcess {
    fn start(fleet: &Fleet, number: usize, seeds: &[String], options: &FleetOptions) -> Self {
        let folder = std::env::temp_dir();
        let name = |what: &str| {
            folder.join(format!(
                "croftpond-{what}-{}-{number}-{}",
                std::process::id(),
                fleet.platform.address().port()
            ))
        };
        let (configuration, node) = (name("configuration"), name("node"));
        std::fs::write(&configuration, &fleet.configuration).unwrap();
        let text =
            fleet.node_settings(number, options, &configuration.display().to_string(), seeds);
        std::fs::write(&node, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_croftpond"))
            .args(["serve", "--node", &node.display().to_string()])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .unwrap()
            .to_string();
        NodeProcess {
            child,
            address,
            files: vec![configuration, node],
        }
    }

    fn is_ready(&self) -> bool {
        let sent = minreq::get(format!("http://{}/readyz", self.address)).send();
        sent.is_ok_and(|r| r.status_code == 200)
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    fn operator(&self, path: &str) -> serde_json::Value {
        let sent = minreq::get(format!("http://{}/operator/{path}", self.address))
            .with_header("Authorization", format!("Bearer {KEY}"))
            .with_timeout(2)
            .send();
        sent.ok()
            .and_then(|r| serde_json::from_slice(r.as_bytes()).ok())
            .unwrap_or_default()
    }

    fn allows_orders(&self) -> bool {
        self.operator("status")["control"]["orders_allowed"] == true
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

fn options() -> FleetOptions {
    let slow = EngineOptions {
        token_interval: Duration::from_millis(10),
        ..EngineOptions::default()
    };
    FleetOptions {
        nodes: 0,
        engines: vec![slow; 2],
        // A call whose first run is lost is answered at its deadline.
        desk: "deadline = 5000ms\n".into(),
        ..FleetOptions::default()
    }
}

fn start(nodes: usize) -> (Fleet, Vec<NodeProcess>) {
    let options = options();
    let fleet = common::fleet(&options);
    let mut processes: Vec<NodeProcess> = Vec::new();
    let mut seeds = Vec::new();
    for n in 0..nodes {
        let process = NodeProcess::start(&fleet, n, &seeds, &options);
        wait_until(|| process.is_ready());
        let peer = process.operator("status")["peer_address"]
            .as_str()
            .unwrap()
            .to_string();
        seeds.push(peer);
        processes.push(process);
    }
    (fleet, processes)
}

fn body(content: &str, tokens: u32) -> serde_json::Value {
    serde_json::from_str(&standins::chat_body(content, tokens, true)).unwrap()
}

#[test]
fn a_stream_survives_the_kill_of_its_node() {
    let (_fleet, mut nodes) = start(2);
    let addresses = nodes.iter().map(|n| n.address.clone()).collect();
    let client = Client::new(addresses, CREDENTIAL);
    let mut chat = client.chat(body("hello", 80));
    let mut text: String = chat
        .by_ref()
        .take(10)
        .map(|part| part.unwrap().text)
        .collect();
    nodes.remove(0);
    text += &chat.map(|part| part.unwrap().text).collect::<String>();
    assert_eq!(text, answer("hello", 80));
}

#[test]
fn sigterm_ends_streams_whole_and_exits_with_success() {
    let (_fleet, mut nodes) = start(1);
    let client = Client::new(vec![nodes[0].address.clone()], CREDENTIAL);
    let mut chat = client.chat(body("hello", 100));
    let first = chat.next().unwrap().unwrap().text;
    nodes[0].signal(Signal::TERM);
    let text: String = first + &chat.map(|part| part.unwrap().text).collect::<String>();
    assert_eq!(text, answer("hello", 100));
    assert!(nodes[0].child.wait().unwrap().success());
}

#[test]
fn a_hold_whose_node_is_killed_is_made_once() {
    let (fleet, mut nodes) = start(2);
    let hold = standins::ApplicationOptions {
        hold: true,
        ..Default::default()
    };
    fleet.application.set(hold);
    let addresses: Vec<String> = nodes.iter().map(|n| n.address.clone()).collect();
    let caller = std::thread::spawn(move || {
        Client::new(addresses, CREDENTIAL).call_once("/holds/a", "k1", "{}")
    });
    fleet.application.wait_running(1);
    nodes.remove(0);
    fleet.application.set(Default::default());
    let outcome = caller.join().unwrap();
    // The node that ran it is gone with the answer: it may not be run again, nor called not run.
    let reported = outcome.unwrap_err().to_string();
    assert!(reported.contains("may have run"), "{reported}");
    assert_eq!(fleet.application.runs()["/holds/a"], 1);
}

#[test]
fn a_holder_that_freezes_past_its_lease_orders_nothing_when_it_wakes() {
    let (fleet, nodes) = start(2);
    wait_until(|| nodes.iter().any(NodeProcess::allows_orders));
    let holder = nodes.iter().position(NodeProcess::allows_orders).unwrap();
    nodes[holder].signal(Signal::STOP);
    let other = &nodes[1 - holder];
    wait_until(|| other.allows_orders());
    nodes[holder].signal(Signal::CONT);
    wait_until(|| nodes[holder].operator("status")["control"]["lease"]["epoch"] == 2);
    assert!(other.allows_orders() && !nodes[holder].allows_orders());
    assert!(fleet.engines.iter().all(|e| e.models() == ["story"]));
}
