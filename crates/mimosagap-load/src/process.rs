//! Child processes, which are killed when this tool exits.

use std::collections::BTreeMap;
use std::process::{Child, ChildStdout, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::CommandError;

/// All running child processes. A signal ends the tool without running destructors, so the thread
/// that handles signals kills the children in this map.
static RUNNING_CHILDREN: Mutex<BTreeMap<u32, Child>> = Mutex::new(BTreeMap::new());

fn lock_children() -> MutexGuard<'static, BTreeMap<u32, Child>> {
    RUNNING_CHILDREN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    id: u32,
}

impl ChildProcess {
    /// Starts a child process. Returns its standard output if the command pipes it.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(command: &mut Command) -> Result<(Self, Option<ChildStdout>), CommandError> {
        let mut children = lock_children();
        let mut child = command.spawn().map_err(|error| {
            let program = command.get_program().to_string_lossy();
            CommandError::Setup(format!(
                "cannot start {program}: {error}; build the workspace first"
            ))
        })?;
        let output = child.stdout.take();
        let id = child.id();
        children.insert(id, child);
        Ok((Self { id }, output))
    }

    /// Process id of the child.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.id
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let child = lock_children().remove(&self.id);
        if let Some(child) = child {
            kill_and_wait(child);
        }
    }
}

fn kill_and_wait(mut child: Child) {
    // Fails only if the process has exited already.
    let _ = child.kill();
    let _ = child.wait();
}

/// Installs a handler that kills all child processes and exits with status 1 on SIGINT and SIGTERM.
///
/// # Errors
/// The signal handler cannot be installed.
pub fn kill_children_on_signal() -> Result<(), CommandError> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            // Holds the lock until exit, so that no further child is started.
            let mut children = lock_children();
            while let Some((_, child)) = children.pop_first() {
                kill_and_wait(child);
            }
            std::process::exit(1);
        }
    });
    Ok(())
}
