//! Processes that a test starts, signals by their ids and always ends.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

const POLL: Duration = Duration::from_millis(5);

/// The directory of the built binaries: that of the test binary without `deps`.
///
/// # Panics
/// If the path of the test binary is unknown.
#[must_use]
pub fn binary_directory() -> PathBuf {
    let test = std::env::current_exe().expect("the test binary has a path");
    let mut directory = test.parent().expect("a binary lies in a directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("deps lies in a directory");
    }
    directory.to_owned()
}

/// A running process, which is killed at the latest when this value is dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl ManagedProcess {
    /// Starts a binary of the workspace. Its output is appended to `NAME.log` in `directory`.
    ///
    /// # Errors
    /// If the binary is not built or the log cannot be written.
    pub fn start(
        name: &str,
        binary: &str,
        arguments: &[String],
        directory: &Path,
    ) -> io::Result<Self> {
        let path = binary_directory().join(binary);
        if !path.exists() {
            let message = format!("{} is not built; run ./test", path.display());
            return Err(io::Error::new(io::ErrorKind::NotFound, message));
        }
        let log = directory.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
        })
    }

    /// Waits for a line in the log that contains `text`.
    ///
    /// # Errors
    /// If the process ends or `limit` passes before.
    pub fn wait_for_log(&mut self, text: &str, limit: Duration) -> io::Result<()> {
        let start = Instant::now();
        while !self.read_log().contains(text) {
            if let Some(status) = self.child.try_wait()? {
                return Err(self.error(&format!("ended with {status}")));
            }
            if start.elapsed() > limit {
                return Err(self.error(&format!("did not write \"{text}\" within {limit:?}")));
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    fn error(&self, what: &str) -> io::Error {
        let log = self.read_log();
        io::Error::other(format!("{} {what}; its output:\n{log}", self.name))
    }

    /// What the process has written.
    #[must_use]
    pub fn read_log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Asks the process to end in an orderly way.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process's execution.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues the process's execution.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process's end.
    ///
    /// # Errors
    /// If `limit` passes before.
    pub fn wait_for_exit(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                return Err(self.error(&format!("did not end within {limit:?}")));
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        // A process that has ended already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
