//! The step loop and the periodic work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::engine::EngineError;
use crate::engine::batch::StepOutcome;
use crate::engine::state::Shared;

/// How often load figures are recorded and silent readers are looked for.
const HOUSEKEEPING: Duration = Duration::from_millis(100);

/// Runs steps while there are streams. A step's tokens are published when its time has passed.
pub(crate) async fn run_steps(shared: Arc<Shared>) -> Result<(), EngineError> {
    let mut outcome = StepOutcome::default();
    let mut next = Instant::now();
    loop {
        let Some(cost) = shared.state().step(&mut outcome) else {
            shared.work_arrived().await;
            next = Instant::now();
            continue;
        };
        if let Some(number) = outcome.poisoned {
            let id = shared.state().id_of(number);
            return Err(EngineError::Poison { id });
        }
        next = (next + cost).max(Instant::now());
        tokio::time::sleep_until(next.into()).await;
        shared.state().publish(&outcome, Instant::now());
        // A step that took no time must not keep the readers from running.
        tokio::task::yield_now().await;
    }
}

/// Records load figures, sends keepalives, and ends streams without readers.
pub(crate) async fn housekeep(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(HOUSEKEEPING);
    loop {
        ticks.tick().await;
        shared.state().housekeep(Instant::now());
    }
}
