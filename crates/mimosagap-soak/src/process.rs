//! A gateway as a process of its own.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// One gateway.
pub struct GatewayProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Where it listens for callers.
    pub callers: SocketAddr,
}

/// What a process holds.
#[derive(Debug, Clone, Copy)]
pub struct HeldResources {
    /// Open descriptors.
    pub descriptors: usize,
    /// The most resident memory that it had, in bytes.
    pub peak_memory: u64,
}

impl GatewayProcess {
    /// Writes the settings of a gateway and starts it.
    ///
    /// # Errors
    /// If the file cannot be written or the program not be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        number: usize,
        base_port: u16,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let port = base_port + u16::try_from(number).unwrap_or(0) * 10;
        let settings = folder.join(format!("gateway-{number}.toml"));
        let text = format!(
            "node_name = \"gateway-{number}\"\nip = \"127.0.0.1\"\nzone = \"z1\"\nregion = \"r1\"\n\
             internal_ports = [{},{}]\nheartbeat_ms = 1200\n\
             [zones]\nz1 = \"r1\"\n\
             [listen]\nfrontend = \"127.0.0.1:{port}\"\nready = \"127.0.0.1:{}\"\n\
             registry = \"127.0.0.1:{}\"\n\
             [limits]\nmemory_mb = 64\n[bounds]\nconfig_apply_ms = 3000\nrevoke_ms = 5000\nrevoke_strict = true\n\
             grace_period_s = 4\nretry_budget_ratio = 0.2\nretry_window_s = 10\nretry_slack = 60\n\
             ttl_max_s = 5\n[platform]\naddress = \"{store}\"\n",
            port + 3,
            port + 4,
            port + 1,
            port + 2,
        );
        std::fs::write(&settings, text)?;
        let mut gateway = Self {
            program: program.to_owned(),
            settings,
            log: folder.join(format!("gateway-{number}.log")),
            child: None,
            callers: ([127, 0, 0, 1], port).into(),
        };
        gateway.start_again()?;
        Ok(gateway)
    }

    /// Starts a new life after the last one ended.
    ///
    /// # Errors
    /// If the log cannot be opened or the program not be started.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id.and_then(Pid::from_raw) {
            // A process that has just ended needs no signal.
            let _ = kill_process(id, signal);
        }
    }

    /// What the process holds now; `None` if it does not run.
    #[must_use]
    pub fn held(&self) -> Option<HeldResources> {
        let id = i32::try_from(self.child.as_ref()?.id()).ok()?;
        let process = procfs::process::Process::new(id).ok()?;
        Some(HeldResources {
            descriptors: process.fd_count().ok()?,
            peak_memory: process.status().ok()?.vmhwm? << 10,
        })
    }

    /// Where its log is.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The child may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
