//! Log lines on standard error, as `key=value` pairs.

use std::io;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// Starts logging; `level` is a level name of the `log` crate.
///
/// # Errors
/// If the level is unknown or a logger is already in place.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .format(line)
        .log_to_stderr()
        .start()
}

fn line(writer: &mut dyn io::Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    write!(
        writer,
        "time={} level={} module={} {}",
        now.format_rfc3339(),
        record.level().as_str().to_ascii_lowercase(),
        record.target(),
        record.args()
    )
}
