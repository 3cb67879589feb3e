//! Steps of the operators.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use super::{STEP_LIMIT, ScenarioRunner};
use crate::check::AppliedRules;
use crate::cluster::StepResult;

/// Steps of the operators. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum RulesStep {
    /// Adds a line to the rules file without applying it.
    Rule(String),
    /// Applies the rules file with the operators' tool.
    Apply,
    /// Two operators apply different lines on top of the same revision at once; prints how many
    /// were accepted.
    ApplyBoth {
        /// The first operator's line.
        first: String,
        /// The second operator's line.
        second: String,
    },
    /// Waits until all running daemons have the stored rules.
    InForce {
        /// The longest wait.
        #[arg(key)]
        within: Option<u64>,
    },
}

impl ScenarioRunner {
    pub(super) fn execute_rules(&mut self, step: &RulesStep) -> StepResult<String> {
        let mut output = String::new();
        match step {
            RulesStep::Rule(line) => self.cluster.add_rule(line),
            RulesStep::Apply => self.apply()?,
            RulesStep::ApplyBoth { first, second } => output = self.apply_both([first, second])?,
            RulesStep::InForce { within } => {
                self.in_force(within.map_or(STEP_LIMIT, Duration::from_millis))?;
            }
        }
        Ok(output)
    }

    pub(super) fn apply(&mut self) -> StepResult {
        self.cluster.apply_rules()?;
        self.note_applied()
    }

    pub(super) fn note_applied(&mut self) -> StepResult {
        let rules = AppliedRules {
            revision: self.cluster.stored_revision()?,
            at: Instant::now(),
        };
        self.journal
            .trace(format!("rules revision {} is accepted", rules.revision));
        self.applied.push(rules);
        Ok(())
    }

    pub(super) fn apply_both(&mut self, lines: [&str; 2]) -> StepResult<String> {
        let results = self.cluster.apply_at_once(lines)?;
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        for result in &results {
            self.journal.trace(format!("operator: {result:?}"));
        }
        if accepted > 0 {
            self.note_applied()?;
        }
        let mut output = format!("{accepted} accepted\n");
        for error in results.iter().filter_map(|result| result.as_ref().err()) {
            let shows = lines.iter().all(|line| error.contains(line));
            let verb = if shows { "shows" } else { "lacks" };
            writeln!(output, "the other {verb} the difference").map_err(|e| e.to_string())?;
        }
        Ok(output)
    }

    pub(super) fn in_force(&mut self, limit: Duration) -> StepResult {
        let revision = self.cluster.stored_revision()?;
        self.wait(
            &format!("rules revision {revision} in force"),
            limit,
            |runner| {
                let observer = &runner.cluster.observer;
                let running = runner.cluster.running_daemons();
                let everywhere = running.iter().all(|run| {
                    observer
                        .newest(run)
                        .is_some_and(|sample| sample.revision >= revision)
                });
                Ok(everywhere.then_some(()))
            },
        )
    }
}
