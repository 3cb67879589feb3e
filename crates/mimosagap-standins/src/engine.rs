//! Stand-in for a model engine: serves a subset of the `OpenAI` Responses API from a simulated
//! continuous batch.

pub mod batch;
pub mod cache;
mod cache_events;
mod commands;
mod generation;
mod http;
mod load_report;
mod options;
mod state;
mod stats;
mod step_loop;

use std::fmt;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use options::EngineOptions;
use state::SharedEngine;

/// Errors that make the engine process exit.
#[derive(Debug)]
pub enum EngineError {
    /// An option is absent or has an invalid value.
    Arguments(pico_args::Error),
    /// The command line holds an option that the engine does not have.
    UnknownOption(String),
    /// The listen address cannot be bound, or the async runtime cannot start.
    Io(std::io::Error),
    /// The input of a running generation contains the poison word, which simulates a request
    /// that crashes the engine.
    Poison {
        /// The response id of the generation.
        id: String,
    },
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(error) => write!(f, "{error}; see docs/design.md, section 10"),
            Self::UnknownOption(option) => write!(f, "unknown option {option}; remove it"),
            Self::Io(error) => write!(
                f,
                "cannot start the engine: {error}; choose a free loopback address"
            ),
            Self::Poison { id } => write!(
                f,
                "the input of {id} contains the poison word; the engine exits"
            ),
        }
    }
}

impl std::error::Error for EngineError {}

impl From<pico_args::Error> for EngineError {
    fn from(error: pico_args::Error) -> Self {
        Self::Arguments(error)
    }
}

impl From<std::io::Error> for EngineError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Runs the engine until SIGTERM, or until `POST /control/leave` makes it exit after a delay.
///
/// # Errors
/// If an option is invalid, the address cannot be bound, or a generation with the poison word runs.
pub fn run(arguments: pico_args::Arguments) -> Result<(), EngineError> {
    let options = EngineOptions::parse(arguments)?;
    // A single-threaded runtime, so that a step wakes all readers without cross-thread scheduling.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(options))
}

async fn serve(options: EngineOptions) -> Result<(), EngineError> {
    let listener = TcpListener::bind(options.listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    println!("listening on {}", listener.local_addr()?);
    let engine = Arc::new(SharedEngine::new(options));
    tokio::spawn(http::accept(listener, Arc::clone(&engine)));
    tokio::spawn(step_loop::run_housekeeping(Arc::clone(&engine)));
    tokio::select! {
        result = step_loop::run_steps(Arc::clone(&engine)) => result,
        () = engine.wait_for_reclaim() => Ok(()),
        _ = terminate.recv() => Ok(()),
    }
}
