//! Questions to a daemon's administration API, printed as they come.

use std::net::SocketAddr;

use crate::error::CommandError;
use crate::http;
use crate::output::{Report, render};

/// What to ask for.
#[derive(Debug, Clone, Copy)]
pub enum QuerySubject {
    Daemons,
    Targets,
    Limits,
    Quarantine,
    Health,
}

impl QuerySubject {
    /// The subject of a command word.
    pub fn parse(word: &str) -> Option<Self> {
        match word {
            "daemons" => Some(Self::Daemons),
            "targets" => Some(Self::Targets),
            "limits" => Some(Self::Limits),
            "quarantine" => Some(Self::Quarantine),
            "health" => Some(Self::Health),
            _ => None,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Daemons => "/admin/v1/daemons",
            Self::Targets => "/admin/v1/targets",
            Self::Limits => "/admin/v1/limits",
            Self::Quarantine => "/admin/v1/quarantine",
            Self::Health => "/admin/v1/health",
        }
    }
}

/// Asks and prints.
pub fn run(daemon: SocketAddr, subject: QuerySubject) -> Result<Report, CommandError> {
    let answer = http::get(daemon, subject.path())?;
    Ok(Report::new(render(&answer), answer))
}
