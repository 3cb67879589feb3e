//! The model engine stand-in: a subset of the `OpenAI` Responses API over a simulated batch.

pub mod batch;
pub mod cache;
mod commands;
mod generation;
mod http;
mod options;
mod pace;
mod publish;
mod report;
mod state;
mod stats;

use std::fmt;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use options::EngineOptions;
use state::Shared;

/// Why the engine ended.
#[derive(Debug)]
pub enum EngineError {
    /// The command line is wrong.
    Arguments(pico_args::Error),
    /// An option is unknown.
    UnknownOption(String),
    /// The address could not be bound, or the runtime could not start.
    Io(std::io::Error),
    /// A request contained the word that ends the process.
    Poison {
        /// The generation that was to be run.
        id: String,
    },
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(error) => write!(f, "{error}; see docs/design.md, section 10"),
            Self::UnknownOption(option) => write!(f, "unknown option {option}; remove it"),
            Self::Io(error) => write!(f, "{error}; choose a free loopback address"),
            Self::Poison { id } => write!(f, "the input of {id} is a poison request"),
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

/// Runs the engine until SIGTERM.
///
/// # Errors
/// A wrong command line, an address that is in use, or a poison request.
pub fn run(arguments: pico_args::Arguments) -> Result<(), EngineError> {
    let options = EngineOptions::parse(arguments)?;
    // One thread: a step wakes all its readers without a hand-over between threads.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(options))
}

async fn serve(options: EngineOptions) -> Result<(), EngineError> {
    let listener = TcpListener::bind(options.listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    println!("listening on {}", listener.local_addr()?);
    let shared = Arc::new(Shared::new(options));
    tokio::spawn(http::accept(listener, Arc::clone(&shared)));
    tokio::spawn(pace::housekeep(Arc::clone(&shared)));
    tokio::select! {
        result = pace::run_steps(Arc::clone(&shared)) => result,
        () = shared.reclaimed() => Ok(()),
        _ = terminate.recv() => Ok(()),
    }
}
