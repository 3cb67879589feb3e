//! Steps that edit and apply the rules, as operators do.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use super::{STEP_TIMEOUT, ScenarioRunner};
use crate::check::AppliedRules;
use crate::cluster::StepResult;

/// Steps that edit and apply the rules. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum RulesStep {
    /// Adds a line to the rules file without applying it.
    Rule(String),
    /// Applies the rules file with the `mimosagap` command-line tool.
    Apply,
    /// Runs two operators who concurrently apply a line each on top of the same revision. Prints how
    /// many were accepted, and whether each error shows the difference.
    ApplyBoth {
        /// The first operator's line.
        first: String,
        /// The second operator's line.
        second: String,
    },
    /// Waits until all running daemons have the stored rules in force.
    InForce {
        /// The timeout; 15 s by default.
        #[arg(key)]
        within: Option<u64>,
    },
}

impl ScenarioRunner {
    pub(super) fn execute_rules(&mut self, step: &RulesStep) -> StepResult<String> {
        let mut output = String::new();
        match step {
            RulesStep::Rule(line) => self.cluster.add_rule(line),
            RulesStep::Apply => self.apply_rules()?,
            RulesStep::ApplyBoth { first, second } => output = self.apply_both([first, second])?,
            RulesStep::InForce { within } => {
                self.wait_in_force(within.map_or(STEP_TIMEOUT, Duration::from_millis))?;
            }
        }
        Ok(output)
    }

    pub(super) fn apply_rules(&mut self) -> StepResult {
        self.cluster.apply_rules()?;
        self.record_applied_rules()
    }

    pub(super) fn record_applied_rules(&mut self) -> StepResult {
        let rules = AppliedRules {
            revision: self.cluster.stored_revision()?,
            accepted_at: Instant::now(),
        };
        self.recorder
            .trace(format!("rules revision {} was accepted", rules.revision));
        self.applied_rules.push(rules);
        Ok(())
    }

    pub(super) fn apply_both(&mut self, lines: [&str; 2]) -> StepResult<String> {
        let results = self.cluster.apply_concurrently(lines)?;
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        for result in &results {
            self.recorder.trace(format!("operator: {result:?}"));
        }
        if accepted > 0 {
            self.record_applied_rules()?;
        }
        let mut output = format!("{accepted} accepted\n");
        for error in results.iter().filter_map(|result| result.as_ref().err()) {
            let shows_difference = lines.iter().all(|line| error.contains(line));
            let verb = if shows_difference { "shows" } else { "lacks" };
            writeln!(output, "the other {verb} the difference").map_err(|e| e.to_string())?;
        }
        Ok(output)
    }

    pub(super) fn wait_in_force(&mut self, timeout: Duration) -> StepResult {
        let revision = self.cluster.stored_revision()?;
        self.wait_until(
            &format!("all daemons have rules revision {revision} in force"),
            timeout,
            |runner| {
                let poller = &runner.cluster.revision_poller;
                let running = runner.cluster.running_daemons();
                let is_everywhere = running.iter().all(|run| {
                    poller
                        .latest_sample(run)
                        .is_some_and(|sample| sample.revision >= revision)
                });
                Ok(is_everywhere.then_some(()))
            },
        )
    }
}
