//! Steps that inject faults.

use std::time::Duration;

use serde_json::json;

use super::rules::RulesStep;
use super::{STEP_TIMEOUT, ScenarioRunner};
use crate::cluster::StepResult;

/// Steps that inject faults. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum FaultStep {
    /// Injects a fault into the store, in place of the current one.
    StoreFault {
        /// `none`, `down`, `slow` or `lose_answers`.
        kind: String,
        /// The number of calls that the fault affects; without it, all calls.
        #[arg(key)]
        count: Option<u64>,
        /// The delay of a call, for `slow`.
        #[arg(key)]
        delay: Option<u64>,
        /// Restricts the fault to calls that name a key with this prefix.
        #[arg(key)]
        prefix: Option<String>,
    },
    /// Waits until the store's fault has affected a call.
    WaitStoreFault,
    /// Sets the mode of the link to a target, or of a daemon's link to the store.
    Link {
        /// The name of the target or daemon.
        name: String,
        /// The mode of the link's proxy.
        mode: String,
        /// The delay, for mode `delay`.
        #[arg(key, optional)]
        delay: u64,
    },
    /// Gives a target the leave notice.
    Leave(String),
    /// Sets how a service responds to orders.
    Behave {
        /// The name of the service.
        name: String,
        /// The time between the execution and the response.
        #[arg(key, optional)]
        delay: u64,
        /// The HTTP status; 200 by default.
        #[arg(key)]
        status: Option<u16>,
        /// Whether the service closes the connection instead of responding.
        #[arg(key, optional)]
        close: bool,
    },
    /// Sets the time after which the host list shows a change.
    HostListLag(u64),
    /// Sleeps for a fixed time.
    Sleep(u64),
    /// A command of [`RulesStep`].
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
                self.wait_until("the store's fault affects a call", STEP_TIMEOUT, |runner| {
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
