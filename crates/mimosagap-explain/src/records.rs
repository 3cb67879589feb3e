//! Log lines of several hosts on a common time scale.

use std::collections::HashMap;
use std::io::{BufRead, Result};
use std::time::Duration;

use serde_json::{Map, Value};

/// A wall clock that deviates from its host's boot clock by more than this has been stepped. Log
/// lines have a resolution of 1 ms, and slewing stays far below this threshold.
const CLOCK_STEP_THRESHOLD: Duration = Duration::from_millis(100);

/// A parsed log line.
#[derive(Debug, Clone)]
pub struct LogRecord {
    /// Name of the host that wrote the line.
    pub host: String,
    /// Wall-clock time since the Unix epoch, corrected for steps of the host's clock.
    pub timestamp: Duration,
    /// Name of the event.
    pub event: String,
    /// All fields besides the event and its times.
    pub fields: Map<String, Value>,
}

impl LogRecord {
    /// The value of a field; `None` if the field is missing or not a string.
    #[must_use]
    pub fn text_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// The value of a field; `None` if the field is missing or not a non-negative integer.
    #[must_use]
    pub fn number_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// The id of the attempt that the line belongs to; `None` if it concerns the host or a target.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.text_field("id")
    }
}

/// Relation of a host's wall clock to its boot clock.
#[derive(Debug, Clone, Copy)]
struct HostClock {
    /// Boot-clock time of the latest line.
    last_boot_time: Duration,
    /// Wall-clock time at the host's boot, in milliseconds since the Unix epoch.
    boot_wall_ms: i128,
    was_stepped: bool,
}

/// The records of several logs.
#[derive(Debug, Clone, Default)]
pub struct LogSet {
    records: Vec<LogRecord>,
    clocks: HashMap<String, HostClock>,
    unreadable_lines: usize,
}

impl LogSet {
    /// Reads a log and adds its records.
    ///
    /// Log collectors may put text before the JSON object of a line; its last word is then the
    /// host's name. Without such text the host is the one that the latest `started` line names, or
    /// `name` before the first.
    ///
    /// # Errors
    /// If the log cannot be read.
    pub fn read_log(&mut self, name: &str, log: impl BufRead) -> Result<()> {
        let mut host = name.to_owned();
        for line in log.lines() {
            let line = line?;
            let Some(json_start) = line.find('{') else {
                self.unreadable_lines += usize::from(!line.trim().is_empty());
                continue;
            };
            let (prefix, json) = line.split_at(json_start);
            let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
                self.unreadable_lines += 1;
                continue;
            };
            if let Some(host_name) = prefix.split_whitespace().last() {
                host_name.clone_into(&mut host);
            } else if let Some(host_name) = fields.get("host").and_then(Value::as_str) {
                host_name.clone_into(&mut host);
            }
            match self.build_record(&host, fields) {
                Some(record) => self.records.push(record),
                None => self.unreadable_lines += 1,
            }
        }
        Ok(())
    }

    fn build_record(&mut self, host: &str, mut fields: Map<String, Value>) -> Option<LogRecord> {
        let wall_ms = fields.remove("time_ms")?.as_u64()?;
        let boot_time = Duration::from_millis(fields.remove("boot_ms")?.as_u64()?);
        let event = fields.remove("event")?.as_str()?.to_owned();
        let boot_ms = i128::try_from(boot_time.as_millis()).ok()?;
        let boot_wall_ms = i128::from(wall_ms) - boot_ms;
        let new_clock = HostClock {
            last_boot_time: boot_time,
            boot_wall_ms,
            was_stepped: false,
        };
        let clock = self.clocks.entry(host.to_owned()).or_insert(new_clock);
        if boot_time < clock.last_boot_time {
            // The host was rebooted.
            *clock = HostClock {
                was_stepped: clock.was_stepped,
                ..new_clock
            };
        }
        clock.last_boot_time = boot_time;
        let deviation_ms = boot_wall_ms.abs_diff(clock.boot_wall_ms);
        clock.was_stepped |= deviation_ms > CLOCK_STEP_THRESHOLD.as_millis();
        let timestamp_ms = u64::try_from(clock.boot_wall_ms + boot_ms).ok()?;
        Some(LogRecord {
            host: host.to_owned(),
            timestamp: Duration::from_millis(timestamp_ms),
            event,
            fields,
        })
    }

    /// All records in the order in which they were read.
    #[must_use]
    pub fn records(&self) -> &[LogRecord] {
        &self.records
    }

    /// Number of lines that could not be parsed as log lines, apart from blank ones.
    #[must_use]
    pub fn unreadable_lines(&self) -> usize {
        self.unreadable_lines
    }

    /// Whether the wall clock of a host was stepped during its logs.
    #[must_use]
    pub fn has_clock_step(&self, host: &str) -> bool {
        self.clocks.get(host).is_some_and(|clock| clock.was_stepped)
    }
}
