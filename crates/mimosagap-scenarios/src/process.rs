//! Child processes that a test starts and signals, and that are killed when the test ends.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The directory of the built binaries: the parent of `deps`, which holds the test binary.
///
/// # Panics
/// The path of the test binary is unknown.
#[must_use]
pub fn binary_directory() -> PathBuf {
    let test_binary = std::env::current_exe().expect("the test binary has a path");
    let mut directory = test_binary.parent().expect("a binary lies in a directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("deps lies in a directory");
    }
    directory.to_owned()
}

/// A child process, killed when this value is dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    child: Child,
    log_path: PathBuf,
}

impl ManagedProcess {
    /// Starts a binary of the workspace. Its output is appended to `NAME.log` in `directory`.
    ///
    /// # Errors
    /// The binary is not built, or the log cannot be written.
    pub fn start(
        name: &str,
        binary: &str,
        arguments: &[String],
        directory: &Path,
    ) -> io::Result<Self> {
        let binary_path = binary_directory().join(binary);
        if !binary_path.exists() {
            let message = format!(
                "{} is not built; run ./test to build it",
                binary_path.display()
            );
            return Err(io::Error::new(io::ErrorKind::NotFound, message));
        }
        let log_path = directory.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log_path)?;
        let child = Command::new(binary_path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log_path,
        })
    }

    /// Waits for a line in the log that contains `text`.
    ///
    /// # Errors
    /// The process exits first, or `timeout` passes.
    pub fn wait_for_log(&mut self, text: &str, timeout: Duration) -> io::Result<()> {
        let start = Instant::now();
        while !self.read_log().contains(text) {
            if let Some(status) = self.child.try_wait()? {
                return Err(self.error_with_log(&format!("exited with {status}")));
            }
            if start.elapsed() > timeout {
                return Err(
                    self.error_with_log(&format!("did not log \"{text}\" within {timeout:?}"))
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn error_with_log(&self, problem: &str) -> io::Error {
        let log = self.read_log();
        io::Error::other(format!("{} {problem}; its output:\n{log}", self.name))
    }

    /// The output so far; empty if the log cannot be read.
    #[must_use]
    pub fn read_log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// The operating system rejects the signal.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Sends SIGTERM, which asks the process to shut down gracefully.
    ///
    /// # Errors
    /// The process no longer exists.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    /// The process no longer exists.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues a suspended process with SIGCONT.
    ///
    /// # Errors
    /// The process no longer exists.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    /// `timeout` passes first.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > timeout {
                return Err(self.error_with_log(&format!("did not exit within {timeout:?}")));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        // Killing a process that has exited fails, which needs no handling.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
