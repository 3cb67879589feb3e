//! Child processes, which end with this tool.

use std::collections::BTreeMap;
use std::process::{Child, ChildStdout, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::CommandError;

/// All running children. A signal ends the tool without destructors, so the children must be
/// found from the thread that handles signals.
static CHILDREN: Mutex<BTreeMap<u32, Child>> = Mutex::new(BTreeMap::new());

fn children() -> MutexGuard<'static, BTreeMap<u32, Child>> {
    CHILDREN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A child that is killed when this value is dropped.
#[derive(Debug)]
pub struct OwnedProcess {
    id: u32,
}

impl OwnedProcess {
    /// Starts a child; its standard output is returned if the command pipes it.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(command: &mut Command) -> Result<(Self, Option<ChildStdout>), CommandError> {
        let mut children = children();
        let mut child = command.spawn().map_err(|error| {
            let program = command.get_program().to_string_lossy();
            CommandError::Setup(format!("{program}: {error}; build the workspace first"))
        })?;
        let output = child.stdout.take();
        let id = child.id();
        children.insert(id, child);
        Ok((Self { id }, output))
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.id
    }
}

impl Drop for OwnedProcess {
    fn drop(&mut self) {
        let child = children().remove(&self.id);
        if let Some(child) = child {
            end(child);
        }
    }
}

fn end(mut child: Child) {
    // Fails only if the process has ended.
    let _ = child.kill();
    let _ = child.wait();
}

/// Ends the children and the tool on SIGINT and SIGTERM.
///
/// # Errors
/// The signals cannot be handled.
pub fn end_children_on_signal() -> Result<(), CommandError> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            // The lock is kept, so that no further child is started.
            let mut children = children();
            while let Some((_, child)) = children.pop_first() {
                end(child);
            }
            std::process::exit(1);
        }
    });
    Ok(())
}
