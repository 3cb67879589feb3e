//! The project's gateways as separate processes, started with the command of the deploy file.

use std::fs;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;

/// Longest time of a case; its processes are ended then.
const MAX_TIME: Duration = Duration::from_secs(112);

/// Ids of the processes that this program started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that this program started, so that it ends with the case.
pub fn note_process(id: u32) {
    PROCESSES.lock().unwrap().push(id);
}

/// Ends the case, and the processes that it started, if it takes too long.
fn watch_time() {
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        let ids: Vec<String> = PROCESSES
            .lock()
            .unwrap()
            .iter()
            .map(u32::to_string)
            .collect();
        let command = format!("kill -KILL {}", ids.join(" "));
        let _ = Command::new("sh").args(["-c", &command]).status();
        println!("exit 2: the case took too long");
        std::process::exit(2);
    });
}

/// The command of the deploy file.
const PROGRAM: &str = "target/release/mimosagapd";
const ARGUMENTS: [&str; 3] = ["gateway", "--metrics-port", "9464"];

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub registry: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The entry hosts of a small deployment; the processes end with it.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

/// A port that is free on a loopback address.
fn free_port(ip: Ipv4Addr, taken: &mut Vec<u16>) -> u16 {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().unwrap().port();
        if !taken.contains(&port) {
            taken.push(port);
            return port;
        }
    }
}

impl Fleet {
    /// Writes the settings of `count` hosts, with the figures of the pages' example.
    pub fn new(count: u8, store: SocketAddr, memory_mb: u32) -> Self {
        watch_time();
        let folder = std::env::temp_dir().join(format!("mimosagap-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut gateways = Vec::new();
        for number in 1..=count {
            let ip = Ipv4Addr::new(127, 0, 0, 20 + number);
            let mut taken = vec![9464];
            let mut port = || free_port(ip, &mut taken);
            let (callers, ready, registry, control, peers) =
                (port(), port(), port(), port(), port());
            let name = format!("edge-norte-a-{number}");
            let settings = folder.join(format!("{name}.toml"));
            let text = format!(
                r#"node_name = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge","registry"]
ip = "{ip}"
zone = "norte-a"
region = "norte"
internal_ports = [{peers},{last_peer}]
seed_nodes = []
bootstrap = true
failure_counted = false
discovery = "platform"
entry_point = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
norte-a = "norte"
lisboa-a = "lisboa"
algarve-a = "algarve"
[listen]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
control_plane = "{ip}:{control}"
registry = "{ip}:{registry}"
[limits]
cpu_quota = 0.25
cpu_cores = 1
memory_mb = {memory_mb}
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machine_failures = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_extension_ms = 6000
revoke_strict = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recovery_s = 12
iteration_ms = 400
reuse_window_s = 5.3
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"#,
                last_peer = peers.saturating_add(1),
            );
            fs::write(&settings, text).expect("settings can be written");
            gateways.push(Gateway {
                callers: (ip, callers).into(),
                ready: (ip, ready).into(),
                registry: (ip, registry).into(),
                log: folder.join(format!("{name}.log")),
                name,
                settings,
                child: None,
            });
        }
        Self { gateways, folder }
    }

    pub fn start_all(&mut self) {
        for gateway in &mut self.gateways {
            gateway.start();
        }
    }

    /// Waits until all hosts say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Ends all processes that this fleet started, and removes its folder.
    pub fn kill_all(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}

impl Gateway {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("MIMOSAGAP_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                note_process(child.id());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("{PROGRAM} cannot be started: {error}; build it first");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process that this program started, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Sends a signal to the process that this program started, by its id.
    pub fn signal(&self, signal: &str) {
        if let Some(pid) = self.pid() {
            // The shell's own command, because `kill` need not be installed as a program.
            let command = format!("kill {signal} {pid}");
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Resident memory of the process in KiB, from the kernel.
    pub fn resident_kib(&self) -> u64 {
        let status = self.pid().map(|pid| format!("/proc/{pid}/status"));
        let text = status
            .and_then(|path| fs::read_to_string(path).ok())
            .unwrap_or_default();
        text.lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.trim().split(' ').next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Asks the process whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> Option<u16> {
            let mut stream =
                TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream
                .write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .ok()?;
            Some(http::read_head(&mut BufReader::new(stream))?.status())
        };
        ask() == Some(200)
    }
}
