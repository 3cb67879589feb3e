//! Log lines of several hosts on one time scale.

use std::collections::HashMap;
use std::io::{BufRead, Result};
use std::time::Duration;

use serde_json::{Map, Value};

/// A wall clock that differs by more than this from its host's boot clock has been stepped. Lines
/// carry whole milliseconds, and slewing stays far below it.
const STEP: Duration = Duration::from_millis(100);

/// One line of a log.
#[derive(Debug, Clone)]
pub struct LogRecord {
    /// The host that wrote it.
    pub host: String,
    /// Wall-clock time since the Unix epoch, without the steps of the host's clock.
    pub timestamp: Duration,
    /// The event's name.
    pub event: String,
    /// Its fields.
    pub fields: Map<String, Value>,
}

impl LogRecord {
    /// A text field.
    #[must_use]
    pub fn text_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A number.
    #[must_use]
    pub fn number_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// The request's id, if the line concerns one.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.text_field("id")
    }
}

/// How a host's wall clock relates to its boot clock.
#[derive(Debug, Clone, Copy)]
struct HostClock {
    boot: Duration,
    /// Wall-clock time at the host's start.
    origin: i128,
    has_stepped: bool,
}

/// The lines of several logs.
#[derive(Debug, Clone, Default)]
pub struct LogSet {
    records: Vec<LogRecord>,
    clocks: HashMap<String, HostClock>,
    unreadable: usize,
}

impl LogSet {
    /// Reads a log. A line may have text before its JSON whose last word is the host's name, as log
    /// collectors write it; otherwise the host is the one that `started` names, or `name`.
    ///
    /// # Errors
    /// If the log cannot be read.
    pub fn read_log(&mut self, name: &str, log: impl BufRead) -> Result<()> {
        let mut host = name.to_owned();
        for line in log.lines() {
            let line = line?;
            let Some(start) = line.find('{') else {
                self.unreadable += usize::from(!line.trim().is_empty());
                continue;
            };
            let (prefix, json) = line.split_at(start);
            let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
                self.unreadable += 1;
                continue;
            };
            if let Some(named) = prefix.split_whitespace().last() {
                named.clone_into(&mut host);
            } else if let Some(named) = fields.get("host").and_then(Value::as_str) {
                named.clone_into(&mut host);
            }
            match self.record(&host, fields) {
                Some(record) => self.records.push(record),
                None => self.unreadable += 1,
            }
        }
        Ok(())
    }

    fn record(&mut self, host: &str, mut fields: Map<String, Value>) -> Option<LogRecord> {
        let wall = fields.remove("time_ms")?.as_u64()?;
        let boot = Duration::from_millis(fields.remove("boot_ms")?.as_u64()?);
        let event = fields.remove("event")?.as_str()?.to_owned();
        let boot_ms = i128::try_from(boot.as_millis()).ok()?;
        let origin = i128::from(wall) - boot_ms;
        let fresh = HostClock {
            boot,
            origin,
            has_stepped: false,
        };
        let clock = self.clocks.entry(host.to_owned()).or_insert(fresh);
        if boot < clock.boot {
            // The host was started again.
            *clock = HostClock {
                has_stepped: clock.has_stepped,
                ..fresh
            };
        }
        clock.boot = boot;
        let distance = origin.abs_diff(clock.origin);
        clock.has_stepped |= distance > STEP.as_millis();
        let at = u64::try_from(clock.origin + boot_ms).ok()?;
        Some(LogRecord {
            host: host.to_owned(),
            timestamp: Duration::from_millis(at),
            event,
            fields,
        })
    }

    /// All lines, log by log.
    #[must_use]
    pub fn records(&self) -> &[LogRecord] {
        &self.records
    }

    /// Lines that are no log lines.
    #[must_use]
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Whether the wall clock of a host was stepped.
    #[must_use]
    pub fn has_stepped(&self, host: &str) -> bool {
        self.clocks.get(host).is_some_and(|clock| clock.has_stepped)
    }
}
