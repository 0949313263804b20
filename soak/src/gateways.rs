//! Gateways as processes.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};

/// Ports of every gateway, each on an address of its own.
const CALLERS_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
/// Regions, and a hall of each.
const HALLS: [(&str, &str); 2] = [("hall-1", "north"), ("hall-2", "south")];
/// Gateways that the others find first.
const SEEDS: usize = 3;
/// Addresses of one soak begin with two bytes of its process's number, so that several can run.
const FIRST_NET: u32 = 64;
const NETS: u32 = 128;
const PARTS: u32 = 250;

/// The hall of a gateway or an endpoint.
pub(crate) fn hall(index: usize) -> &'static str {
    HALLS[index % HALLS.len()].0
}

/// Where a gateway's surroundings are.
pub(crate) struct Around {
    /// Its way to the store.
    pub store: SocketAddr,
    /// The taker of reports.
    pub reports: SocketAddr,
    /// Gateways in all.
    pub gateways: usize,
}

/// The programs that gateways run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The one under test.
    pub current: PathBuf,
    /// An earlier build, if there is one beside it.
    pub older: Option<PathBuf>,
}

/// One gateway; its process is ended with this value.
pub(crate) struct Gateway {
    /// Where clients reach it.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Whether its next start is of the older build.
    pub is_older: bool,
    programs: Programs,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn ip(index: usize) -> String {
    let process = std::process::id();
    let (net, part) = (FIRST_NET + process % NETS, process / NETS % PARTS);
    format!("127.{net}.{part}.{}", index + 1)
}

fn address(index: usize, port: u16) -> SocketAddr {
    let text = format!("{}:{port}", ip(index));
    // Built of numbers in range just above.
    text.parse()
        .unwrap_or_else(|_| ([127, 0, 0, 1], port).into())
}

impl Gateway {
    /// Writes the settings of a gateway that does not run yet.
    pub fn new(index: usize, programs: &Programs, out: &Path, around: &Around) -> io::Result<Self> {
        let gateway = Gateway {
            callers: address(index, CALLERS_PORT),
            ready: address(index, READY_PORT),
            is_older: programs.older.is_some(),
            programs: programs.clone(),
            settings: out.join(format!("g{index}.ini")),
            log: out.join(format!("g{index}.log")),
            child: None,
        };
        fs::write(&gateway.settings, settings(index, around))?;
        // The log of an earlier run with the same folder tells nothing of this one.
        File::create(&gateway.log)?;
        Ok(gateway)
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().append(true).open(&self.log)?;
        let older = self.programs.older.as_ref().filter(|_| self.is_older);
        let program = older.unwrap_or(&self.programs.current);
        let child = Command::new(program)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether there is a process.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => Ok(kill_process(Pid::from_child(child), signal)?),
            None => Ok(()),
        }
    }

    /// How the process ended, if it did since the last look.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Largest memory of the process so far, in kB.
    pub fn peak_memory(&self) -> u64 {
        let status = self.child.as_ref().and_then(|child| {
            let path = format!("/proc/{}/status", child.id());
            fs::read_to_string(path).ok()
        });
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().split(' ').next()?.parse().ok());
        peak.unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Already gone is as good.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn settings(index: usize, around: &Around) -> String {
    let (hall, region) = HALLS[index % HALLS.len()];
    let halls: String = HALLS.iter().map(|(h, r)| format!("{h}:{r},")).collect();
    let seeds = (0..SEEDS.min(around.gateways)).map(|seed| format!("{}:8229", ip(seed)));
    let seeds: Vec<String> = seeds.collect();
    let Around { store, reports, .. } = around;
    format!(
        "[gateway]\nname = g{index}\nregion = {region}\nzone = {hall}\nhalls = {halls}\n\
         cores = 0.25\naddress = {ip}\ncallers = {ip}:{CALLERS_PORT}\n\
         readiness = {ip}:{READY_PORT}\npeer_ports = 7600,7615\nseeds = {seeds}\n\
         [store]\naddress = {store}\n[orders]\naddress = {reports}\nduties = usage_reporting\n\
         [bounds]\ndescriptors = 1000\nmemory = 260MiB\ncredential_age = 5000ms\n\
         change_due = 2000ms\nstop_grace = 8s\nrepeats = 0.05\nrepeats_extra = 10\n\
         repeats_window = 10s\nlease = 3000ms\nusage_window = 2s\nusage_due = 4s\nquota_slack = 30\n",
        ip = ip(index),
        seeds = seeds.join(","),
    )
}
