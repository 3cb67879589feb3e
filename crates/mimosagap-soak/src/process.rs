//! A gateway that runs as a process of its own, with its settings and its log.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A gateway process, which is killed when this is dropped.
pub struct GatewayProcess {
    program: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    /// Where it accepts client connections.
    pub client_address: SocketAddr,
}

/// Resources that a process uses.
#[derive(Debug, Clone, Copy)]
pub struct ResourceUsage {
    /// Open file descriptors, sockets among them.
    pub descriptors: usize,
    /// The peak of its resident memory since its start.
    pub peak_memory_bytes: u64,
}

/// Where a gateway stands in its fleet.
#[derive(Debug, Clone, Copy)]
pub struct GatewayPlace {
    /// Its number in the fleet, from 0.
    pub index: usize,
    /// Regions of the fleet, each with one zone, over which the gateways are spread in turn.
    pub region_count: usize,
}

/// Resources of its machine that the settings of a gateway name.
#[derive(Debug, Clone, Copy)]
pub struct GatewayLimits {
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Open file descriptors; `None` leaves the setting out.
    pub max_fds: Option<u32>,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        Self {
            memory_mb: 64,
            max_fds: None,
        }
    }
}

/// Name of the zone of a region, both counted from 0.
#[must_use]
pub fn zone_name(region: usize) -> String {
    format!("z{}", region + 1)
}

impl GatewayProcess {
    /// Writes the settings of a gateway and starts it. It listens on the five ports from
    /// `base_port + 10 * index` on.
    ///
    /// # Errors
    /// If the settings cannot be written or the program cannot be started.
    pub fn start(
        program: &Path,
        directory: &Path,
        place: GatewayPlace,
        base_port: u16,
        store_address: SocketAddr,
    ) -> std::io::Result<Self> {
        let limits = GatewayLimits::default();
        Self::start_with_limits(program, directory, place, base_port, store_address, limits)
    }

    /// Like [`Self::start`], with the resources of a certain machine.
    ///
    /// # Errors
    /// If the settings cannot be written or the program cannot be started.
    pub fn start_with_limits(
        program: &Path,
        directory: &Path,
        place: GatewayPlace,
        base_port: u16,
        store_address: SocketAddr,
        limits: GatewayLimits,
    ) -> std::io::Result<Self> {
        let max_fds = limits
            .max_fds
            .map_or_else(String::new, |max_fds| format!("max_fds = {max_fds}\n"));
        let memory_mb = limits.memory_mb;
        let GatewayPlace {
            index,
            region_count,
        } = place;
        let region = index % region_count;
        let zones: Vec<String> = (0..region_count)
            .map(|number| format!("{} = \"r{}\"", zone_name(number), number + 1))
            .collect();
        let zones = zones.join("\n");
        let port = base_port + u16::try_from(index).unwrap_or(0) * 10;
        let settings_path = directory.join(format!("gateway-{index}.toml"));
        let text = format!(
            "node_name = \"gateway-{index}\"\nip = \"127.0.0.1\"\nzone = \"{}\"\nregion = \"r{}\"\n\
             internal_ports = [{},{}]\nheartbeat_ms = 1200\n\
             [zones]\n{zones}\n\
             [listen]\nfrontend = \"127.0.0.1:{port}\"\nready = \"127.0.0.1:{}\"\n\
             registry = \"127.0.0.1:{}\"\n\
             [limits]\nmemory_mb = {memory_mb}\n{max_fds}[bounds]\nconfig_apply_ms = 3000\nrevoke_ms = 5000\nrevoke_strict = true\n\
             grace_period_s = 4\nretry_budget_ratio = 0.2\nretry_window_s = 10\nretry_slack = 60\n\
             ttl_max_s = 5\n[platform]\naddress = \"{store_address}\"\n",
            zone_name(region),
            region + 1,
            port + 3,
            port + 4,
            port + 1,
            port + 2,
        );
        std::fs::write(&settings_path, text)?;
        let mut gateway = Self {
            program: program.to_owned(),
            settings_path,
            log_path: directory.join(format!("gateway-{index}.log")),
            child: None,
            client_address: ([127, 0, 0, 1], port).into(),
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    /// Starts the process, after the previous one has exited. Its output is appended to the log.
    ///
    /// # Errors
    /// If the log cannot be opened or the program cannot be started.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and starts it again with settings that list these contracts as well.
    ///
    /// # Errors
    /// If the settings cannot be changed or the program cannot be started.
    pub fn restart_with_contracts(&mut self, contracts: &[&str]) -> std::io::Result<()> {
        self.kill();
        let text = std::fs::read_to_string(&self.settings_path)?;
        let text = format!("contracts = {contracts:?}\n{text}");
        std::fs::write(&self.settings_path, text)?;
        self.spawn()
    }

    /// Sets the program that the next [`Self::spawn`] starts, as an upgrade does.
    pub fn set_program(&mut self, program: &Path) {
        program.clone_into(&mut self.program);
    }

    /// Sends a signal to the process, if it is running.
    pub fn send_signal(&self, signal: Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id.and_then(Pid::from_raw) {
            // The only expected error is that the process has exited, which needs no signal.
            let _ = kill_process(id, signal);
        }
    }

    /// The resources that the process uses now; `None` if it is not running.
    #[must_use]
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let id = i32::try_from(self.child.as_ref()?.id()).ok()?;
        let process = procfs::process::Process::new(id).ok()?;
        Some(ResourceUsage {
            descriptors: process.fd_count().ok()?,
            peak_memory_bytes: process.status().ok()?.vmhwm? << 10,
        })
    }

    /// The file that its output is appended to.
    #[must_use]
    pub fn log_path(&self) -> &Path {
        &self.log_path
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has already exited.
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
