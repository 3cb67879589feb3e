//! Gateways as processes, servers, and links between them that can be cut.

use std::ffi::c_void;
use std::fs::{self, File};
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{Message, read_request, write_response};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// A free port of the loopback interface, and `count - 1` ports after it.
pub fn free_ports(count: u16) -> u16 {
    let seed = std::process::id() as u16;
    let mut base = 21000 + seed % 200 * 50;
    loop {
        let mut ports = base..base + count;
        if ports.all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
            return base;
        }
        base = if base > 31000 { 21000 } else { base + 47 };
    }
}

/// Where a gateway stands.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
}

/// A gateway process, killed when this is dropped.
pub struct Gateway {
    name: String,
    directory: PathBuf,
    metrics_port: u16,
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Gateway {
    /// Starts the program with the command of the deploy file.
    pub fn start(directory: &Path, place: &Place<'_>, store: SocketAddr) -> io::Result<Self> {
        let port = free_ports(8);
        let Place { name, zone, region } = place;
        let settings = directory.join(format!("{name}.toml"));
        let text = format!(
            "node_name = \"{name}\"\nrole = \"gateway\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"registry\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\n\
             region = \"{region}\"\ninternal_ports = [{},{}]\nseed_nodes = []\nbootstrap = true\n\
             heartbeat_ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
             \"recover\",\"health\",\"pool\",\"engine\",\"stream\",\"tenants\",\
             \"platform\"]\n\
             [zones]\nz1 = \"r1\"\nz2 = \"r2\"\n\
             [listen]\nfrontend = \"127.0.0.1:{port}\"\nready = \"127.0.0.1:{}\"\n\
             registry = \"127.0.0.1:{}\"\n\
             [limits]\ncpu_quota = 0.25\ncpu_cores = 1\nmemory_mb = 128\nmax_fds = 4100\n\
             bandwidth_mbps = 200.0\ndisk_mb = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 5000\nack_timeout_ms = 8000\n\
             catch_up_s = 6\ndrain_timeout_ms = 4000\ngrace_period_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 4000\nrollback_slack_ms = 250\nmax_extension_ms = 8000\n\
             revoke_strict = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             retry_window_s = 10\nretry_slack = 276\nrecovery_s = 15\niteration_ms = 400\n\
             reuse_window_s = 4.6\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 1200\n\
             reads_per_s = 6000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n",
            port + 3,
            port + 6,
            port + 1,
            port + 2,
        );
        fs::write(&settings, text)?;
        let metrics_port = port + 7;
        let gateway = Self {
            name: (*name).to_owned(),
            directory: directory.to_owned(),
            metrics_port,
            child: spawn(directory, name, metrics_port)?,
            callers: SocketAddr::from(([127, 0, 0, 1], port)),
            ready: SocketAddr::from(([127, 0, 0, 1], port + 1)),
        };
        gateway.await_ready()?;
        Ok(gateway)
    }

    /// Kills the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Starts the process again with the settings that it had.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.directory, &self.name, self.metrics_port)?;
        self.await_ready()
    }

    fn await_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > until {
                let name = &self.name;
                return Err(io::Error::other(format!("{name} does not get ready")));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Whether the gateway answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that was not waited for, so its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Adds a field to the settings, as the platform may, and tells the process.
    pub fn change_settings(&self) -> io::Result<()> {
        let path = self.directory.join(format!("{}.toml", self.name));
        let mut file = File::options().append(true).open(path)?;
        file.write_all(b"new_field = 1\n")?;
        self.signal(SIGHUP);
        Ok(())
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

/// Starts the command of the deploy file with the settings of a gateway.
fn spawn(directory: &Path, name: &str, metrics_port: u16) -> io::Result<Child> {
    let output = |extension| {
        let path = directory.join(format!("{name}.{extension}"));
        File::options().create(true).append(true).open(path)
    };
    let mut command = Command::new(repository().join("target/release/mimosagapd"));
    command
        .args(["gateway", "--metrics-port", &metrics_port.to_string()])
        .current_dir(repository())
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("MIMOSAGAP_SETTINGS", directory.join(format!("{name}.toml")))
        .stdin(Stdio::null())
        .stdout(output("log")?)
        .stderr(output("err")?);
    // A gateway ends with this process, however that ends.
    // SAFETY: the call is safe between fork and exec, and takes plain numbers.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn()
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Root of the repository; the program lies in `target/review-2/release`.
pub fn repository() -> PathBuf {
    let program = std::env::current_exe().expect("the program has a path");
    let root = program.ancestors().nth(4);
    root.expect("the program lies in the repository").to_owned()
}

/// One run of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub attempt: String,
    pub at: Instant,
    /// When the server had written its whole answer.
    pub ended_at: Option<Instant>,
}

impl Run {
    /// One line for the record.
    pub fn line(&self) -> String {
        let Self {
            attempt, server, ..
        } = self;
        match self.ended_at {
            Some(ended_at) => {
                let took = ended_at - self.at;
                format!(
                    "{attempt}: run by {server} to its end in {} ms",
                    took.as_millis()
                )
            }
            None => format!("{attempt}: run by {server}, whose answer was broken off"),
        }
    }
}

/// What a server does with a request that it runs.
pub type Work = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A server of a service.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    /// Starts a server that answers by `work`.
    pub fn start(id: &str, service: &str, work: Arc<Work>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (own_id, own_runs) = (id.to_owned(), Arc::clone(&runs));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, runs, work) = (own_id.clone(), Arc::clone(&own_runs), Arc::clone(&work));
                thread::spawn(move || {
                    let _ = serve_requests(&id, stream, &runs, work.as_ref());
                });
            }
        });
        Ok(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            runs,
        })
    }

    /// Its entry in the store.
    pub fn entry(&self, zone: &str, slots: u32) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"born\":1700000000000}}",
            self.service, self.address
        )
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

fn serve_requests(
    id: &str,
    stream: TcpStream,
    runs: &Mutex<Vec<Run>>,
    work: &Work,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let headers = [("X-Instance-Id", id), ("X-Attempt-Id", attempt.as_str())];
            write_response(&mut writer, "421 Misdirected Request", &headers, b"")?;
            continue;
        }
        if attempt.is_empty() {
            let is_health = request.target() == "/healthz";
            let status = if is_health { "200 OK" } else { "404 Not Found" };
            write_response(&mut writer, status, &[("X-Instance-Id", id)], b"")?;
            continue;
        }
        let number = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run {
                server: id.to_owned(),
                attempt,
                at: Instant::now(),
                ended_at: None,
            });
            runs.len() - 1
        };
        work(&request, &mut writer)?;
        runs.lock().unwrap()[number].ended_at = Some(Instant::now());
    }
    Ok(())
}

/// Headers of an answer that a server has run.
pub fn signed<'a>(attempt: &'a str) -> [(&'a str, &'a str); 3] {
    [
        ("X-Attempt-Id", attempt),
        ("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ("Keep-Alive", "timeout=8"),
    ]
}

/// A link to a server for one gateway.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Opens a link to `target`.
    pub fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (own_cut, own_streams) = (Arc::clone(&is_cut), Arc::clone(&streams));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own_cut.load(Ordering::SeqCst) {
                    // Without its listener, the address refuses connections.
                    return;
                }
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let mut open = own_streams.lock().unwrap();
                for end in [&stream, &server] {
                    open.extend(end.try_clone());
                }
                drop(open);
                if let (Ok(from), Ok(to)) = (stream.try_clone(), server.try_clone()) {
                    thread::spawn(move || copy(from, to));
                }
                thread::spawn(move || copy(server, stream));
            }
        });
        Ok(Self {
            address,
            is_cut,
            streams,
        })
    }

    /// Cuts the link for good: open connections are reset, new ones are refused.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().unwrap().drain(..) {
            reset(&stream);
        }
    }
}

#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Closes a connection so that its peer sees a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger = Linger {
        is_on: 1,
        seconds: 0,
    };
    // SAFETY: the descriptor is open, and the value is a linger structure of the given length.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            (&raw const linger).cast(),
            8,
        )
    };
    let _ = stream.shutdown(Shutdown::Both);
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
