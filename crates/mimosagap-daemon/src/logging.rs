//! Logs to standard error in lines of `key=value` pairs.

use std::io;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// Installs the logger; `level` is a level name of the `log` crate. The caller
/// keeps the handle until the process ends.
///
/// # Errors
/// If the level is unknown or a logger is already installed.
pub fn init(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .format(format_line)
        .log_to_stderr()
        .start()
}

fn format_line(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record,
) -> io::Result<()> {
    write!(
        writer,
        "time={} level={} module={} {}",
        now.format_rfc3339(),
        record.level().as_str().to_ascii_lowercase(),
        record.target(),
        record.args()
    )
}
