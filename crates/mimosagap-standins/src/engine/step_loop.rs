//! The loop that runs the engine's steps in real time, and the periodic housekeeping.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::engine::EngineError;
use crate::engine::batch::StepOutcome;
use crate::engine::state::SharedEngine;

/// Period at which load figures are recorded and idle readers are looked for.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(100);

/// Runs steps while there are streams, and publishes the tokens of a step at the end of its
/// simulated duration. Returns only when a stream with the poison word is admitted.
pub(crate) async fn run_steps(engine: Arc<SharedEngine>) -> Result<(), EngineError> {
    let mut outcome = StepOutcome::default();
    let mut step_end = Instant::now();
    loop {
        let Some(step_duration) = engine.state().step(&mut outcome) else {
            engine.wait_for_work().await;
            step_end = Instant::now();
            continue;
        };
        if let Some(stream_id) = outcome.poisoned {
            let id = engine.state().response_id(stream_id);
            return Err(EngineError::Poison { id });
        }
        step_end = (step_end + step_duration).max(Instant::now());
        tokio::time::sleep_until(step_end.into()).await;
        engine.state().publish(&outcome, Instant::now());
        // Lets the readers run even if the step has no duration.
        tokio::task::yield_now().await;
    }
}

/// Records load figures, triggers keepalives, and cancels generations that nobody reads.
pub(crate) async fn run_housekeeping(engine: Arc<SharedEngine>) {
    let mut ticks = tokio::time::interval(HOUSEKEEPING_PERIOD);
    loop {
        ticks.tick().await;
        engine.state().run_housekeeping(Instant::now());
    }
}
