//! Steps that inject faults.

use std::time::Duration;

use serde_json::json;

use super::rules::RulesStep;
use super::{STEP_LIMIT, ScenarioRunner};
use crate::cluster::StepResult;

/// Steps that inject faults. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum FaultStep {
    /// Sets the store's fault.
    StoreFault {
        /// `none`, `down`, `slow` or `lose_answers`.
        kind: String,
        /// How many calls it hits.
        #[arg(key)]
        count: Option<u64>,
        /// The delay of `slow`.
        #[arg(key)]
        delay: Option<u64>,
        /// Hits only calls that name a key with this prefix.
        #[arg(key)]
        prefix: Option<String>,
    },
    /// Waits until the store's fault has hit a call.
    WaitStoreFault,
    /// Sets the mode of the link to a target, or of a daemon's link to the store.
    Link {
        /// The target or daemon.
        name: String,
        /// The proxy's mode.
        mode: String,
        /// The delay of `delay`.
        #[arg(key, optional)]
        delay: u64,
    },
    /// Gives a target the leave notice.
    Leave(String),
    /// Sets how a service answers.
    Behave {
        /// The service.
        name: String,
        /// The time between the execution and its answer.
        #[arg(key, optional)]
        delay: u64,
        /// The status.
        #[arg(key)]
        status: Option<u16>,
        /// Whether it closes the connection instead of answering.
        #[arg(key, optional)]
        close: bool,
    },
    /// Sets the lag of the host list.
    HostListLag(u64),
    /// Waits.
    Sleep(u64),
    /// A step of another kind.
    #[command(other)]
    Other(goldenscript::Command),
}

impl ScenarioRunner {
    pub(super) fn execute_fault(&mut self, step: &FaultStep) -> StepResult<String> {
        let mut output = String::new();
        match step {
            FaultStep::StoreFault {
                kind,
                count,
                delay,
                prefix,
            } => {
                let fault = json!({
                    "kind": kind,
                    "count": count,
                    "delay_ms": delay.unwrap_or(0),
                    "key_prefix": prefix,
                });
                self.cluster.set_store_fault(&fault)?;
            }
            FaultStep::WaitStoreFault => {
                self.wait("a call hit by the store's fault", STEP_LIMIT, |runner| {
                    Ok((runner.cluster.store_fault_hits()? > 0).then_some(()))
                })?;
            }
            FaultStep::Link { name, mode, delay } => self.cluster.set_link(name, mode, *delay)?,
            FaultStep::Leave(name) => self.cluster.leave_target(name)?,
            FaultStep::Behave {
                name,
                delay,
                status,
                close,
            } => {
                let body = json!({
                    "delay_ms": delay,
                    "status": status.unwrap_or(200),
                    "close": close,
                });
                self.cluster
                    .control_target(name, "/control/behaviour", &body)?;
            }
            FaultStep::HostListLag(ms) => self.cluster.set_host_list_lag(*ms)?,
            FaultStep::Sleep(ms) => std::thread::sleep(Duration::from_millis(*ms)),
            FaultStep::Other(command) => {
                let step = RulesStep::try_from(command).map_err(|error| error.to_string())?;
                output = self.execute_rules(&step)?;
            }
        }
        Ok(output)
    }
}
