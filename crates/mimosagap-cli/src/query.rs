//! `daemons`, `targets`, `limits`, `quarantine` and `health`: queries of a daemon's administration
//! API, whose response is printed as a table or as JSON.

use std::net::SocketAddr;

use crate::error::CommandError;
use crate::http;
use crate::output::{CommandReport, format_value};

/// What a query asks for.
#[derive(Debug, Clone, Copy)]
pub enum QuerySubject {
    Daemons,
    Targets,
    Limits,
    Quarantine,
    Health,
}

impl QuerySubject {
    /// The subject that a command names; `None` if it names no query.
    pub fn parse(command: &str) -> Option<Self> {
        match command {
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

/// Queries the daemon with this administration address.
pub fn run(daemon: SocketAddr, subject: QuerySubject) -> Result<CommandReport, CommandError> {
    let response = http::get_json(daemon, subject.path())?;
    Ok(CommandReport::new(format_value(&response), response))
}
