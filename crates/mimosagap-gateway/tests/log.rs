//! The log: the fields of each event, its bounds, and a reader that stops reading.

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_gateway::log::{EventLog, LINES_PER_SECOND, LogEvent, STREAM_COMPLETE};
use mimosagap_types::prelude::*;
use rstest::rstest;
use serde_json::Value;

/// Time for the writer's thread.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panics").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl SharedOutput {
    fn lines(&self) -> Vec<Value> {
        let text = self.0.lock().expect("no writer panics").clone();
        String::from_utf8(text)
            .expect("lines are text")
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line is JSON"))
            .collect()
    }

    /// Waits until lines satisfy a condition.
    fn wait_for(&self, condition: impl Fn(&[Value]) -> bool) -> Vec<Value> {
        let begun = Instant::now();
        loop {
            let lines = self.lines();
            if condition(&lines) {
                return lines;
            }
            assert!(begun.elapsed() < PATIENCE, "the lines are {lines:#?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// An output on which the first write waits until it is released.
struct BlockedOutput {
    release: Receiver<()>,
    written: SharedOutput,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The sender is dropped to release all further writes.
        let _ = self.release.recv();
        self.written.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn refused(id: &str) -> LogEvent<'_> {
    LogEvent::Refused {
        id,
        request: String::new(),
        reason: "overload",
        status: 503,
        after_ms: 3,
        config_version: 7,
        config_age_ms: 40,
    }
}

fn answered(id: &str, status: u16) -> LogEvent<'_> {
    LogEvent::Answered {
        id,
        target: "i-1",
        status,
        after_ms: 12,
    }
}

fn stream_ended<'a>(id: &'a str, how: &'a str) -> LogEvent<'a> {
    LogEvent::StreamEnded {
        id,
        target: "i-1",
        how,
        last_event: 25,
        hinted_tokens: 90,
        most_tokens: 120,
        made_tokens: 100,
        moves: 0,
        longest_gap_ms: 31,
        after_ms: 900,
    }
}

/// One event of each kind that concerns the process, its targets or its hosts.
fn state_events() -> Vec<LogEvent<'static>> {
    let text = String::new;
    vec![
        LogEvent::Started {
            host: "h",
            version: "0",
        },
        LogEvent::Stopping {
            host: "h",
            in_flight: 1,
        },
        LogEvent::Stopped {
            host: "h",
            in_flight: 0,
        },
        LogEvent::Reloaded {
            result: "unchanged",
        },
        LogEvent::ConfigInForce {
            version: 1,
            revision: 2,
        },
        LogEvent::ConfigUnreadable {
            revision: 2,
            cause: text(),
        },
        LogEvent::Store {
            reachable: true,
            cause: text(),
        },
        LogEvent::TargetListed {
            target: "i-1",
            address: text(),
        },
        LogEvent::TargetLeaving {
            target: "i-1",
            source: "entry",
        },
        LogEvent::TargetPauses {
            target: "i-1",
            source: "answer",
            for_ms: 2000,
        },
        LogEvent::EntryUnreadable {
            key: "k",
            cause: text(),
        },
        LogEvent::Host {
            name: "h",
            listed: true,
        },
        LogEvent::TargetCrashed {
            target: "i-1",
            suspects: 1,
        },
        LogEvent::LinesLeftOut {
            kind: "sent",
            count: 1,
        },
        LogEvent::Trouble {
            what: "accept",
            cause: text(),
        },
    ]
}

/// One event of each kind that concerns a request.
fn request_events() -> Vec<LogEvent<'static>> {
    let text = String::new;
    vec![
        LogEvent::Sent {
            id: "a",
            request: text(),
            target: "i-1",
            attempt: 1,
            requests: 0,
            tokens: 0,
            config_version: 1,
            config_age_ms: 1,
        },
        LogEvent::Waits {
            id: "a",
            request: text(),
            rank: 0,
            ahead: 0,
        },
        LogEvent::AttemptFailed {
            id: "a",
            target: "i-1",
            attempt: 1,
            cause: "broken",
            after_ms: 1,
        },
        refused("a"),
        LogEvent::CallerLeft {
            id: "a",
            after_ms: 1,
        },
        answered("a", 200),
        LogEvent::FirstEvent {
            id: "a",
            target: "i-1",
            after_ms: 1,
            expected_ms: 1,
            prompt: 1,
            ahead: 0,
        },
        LogEvent::StreamBroke {
            id: "a",
            target: "i-1",
            last_event: 1,
            silent_ms: 1,
            has_copy: false,
        },
        LogEvent::Handover {
            id: "a",
            from: "i-1",
            to: "i-2",
            last_event: 1,
            silent_ms: 1,
            is_running: true,
        },
        LogEvent::StreamWentOn {
            id: "a",
            target: "i-1",
            last_event: 1,
            silent_ms: 1,
        },
        stream_ended("a", STREAM_COMPLETE),
        LogEvent::Move {
            id: "a",
            from: "i-1",
            to: "i-2",
            step: "copy",
            after_ms: 1,
        },
    ]
}

/// The table of events in `docs/OPERATIONS.md`: rows of "| `event` | `field`, ... | text |".
fn documented() -> BTreeSet<(String, Vec<String>)> {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let table = page
        .split("## Events")
        .nth(1)
        .and_then(|rest| rest.split("\n## ").next())
        .expect("the page has a section of events");
    let quoted = |cell: &str| -> Vec<String> {
        let words = cell.split('`').skip(1).step_by(2);
        words.map(ToOwned::to_owned).collect()
    };
    table
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').collect();
            (quoted(cells[1]).remove(0), quoted(cells[2]))
        })
        .collect()
}

#[test]
fn each_event_has_the_documented_fields() {
    let output = SharedOutput::default();
    let log = EventLog::new(SystemClock, output.clone()).expect("a thread starts");
    let events: Vec<LogEvent<'_>> = state_events().into_iter().chain(request_events()).collect();
    for event in &events {
        log.event(event);
    }
    log.flush();
    let lines = output.wait_for(|lines| lines.len() == events.len());
    let logged: BTreeSet<(String, Vec<String>)> = lines
        .iter()
        .map(|line| {
            let event = line["event"].as_str().expect("an event has a name");
            let common = ["time_ms", "boot_ms", "event"];
            let fields = line.as_object().expect("a line is an object").keys();
            let own = fields.filter(|name| !common.contains(&name.as_str()));
            let mut own: Vec<String> = own.cloned().collect();
            own.sort();
            (event.to_owned(), own)
        })
        .collect();
    let documented: BTreeSet<(String, Vec<String>)> = documented()
        .into_iter()
        .map(|(event, mut fields)| {
            fields.sort();
            (event, fields)
        })
        .collect();
    assert_eq!(logged, documented);
}

/// Load pattern: a fleet turns away thousands of requests in a second.
#[test]
fn a_flood_is_cut_to_its_budget_and_counted() {
    const FLOOD: usize = 20_000;
    let output = SharedOutput::default();
    let log = EventLog::new(SystemClock, output.clone()).expect("a thread starts");
    let begun = Instant::now();
    for _ in 0..FLOOD {
        log.event(&refused("a"));
    }
    let seconds = begun.elapsed().as_secs() + 2;
    std::thread::sleep(Duration::from_millis(1_050));
    log.event(&answered("b", 200));
    log.flush();
    let lines = output.wait_for(|lines| lines.iter().any(|line| line["event"] == "answered"));
    let written = lines.iter().filter(|line| line["event"] == "refused");
    let written = written.count();
    let left_out: u64 = lines
        .iter()
        .filter(|line| line["event"] == "lines_left_out")
        .map(|line| {
            assert_eq!(line["kind"], "failed");
            line["count"].as_u64().expect("a count")
        })
        .sum();
    assert_eq!(written as u64 + left_out, FLOOD as u64);
    assert!(
        written as u64 <= u64::from(LINES_PER_SECOND) * seconds,
        "{written} lines in {seconds} s"
    );
}

/// Load pattern: all requests succeed at a high rate but for a few.
#[rstest]
#[case::refusal(&refused("b"))]
#[case::failed_answer(&answered("b", 500))]
#[case::broken_stream(&stream_ended("b", "broken"))]
fn successes_do_not_use_up_the_budget_of_failures(#[case] failure: &LogEvent<'_>) {
    let output = SharedOutput::default();
    let log = EventLog::new(SystemClock, output.clone()).expect("a thread starts");
    for _ in 0..LINES_PER_SECOND * 4 {
        log.event(&answered("a", 200));
        log.event(&stream_ended("a", STREAM_COMPLETE));
    }
    log.event(failure);
    log.flush();
    output.wait_for(|lines| lines.iter().any(|line| line["id"] == "b"));
}

#[test]
fn a_reader_that_stops_reading_blocks_nothing_and_learns_what_it_missed() {
    const SECONDS: Duration = Duration::from_secs(2);
    let (sender, release): (Sender<()>, Receiver<()>) = channel();
    let written = SharedOutput::default();
    let output = BlockedOutput {
        release,
        written: written.clone(),
    };
    let log = EventLog::new(SystemClock, output).expect("a thread starts");
    let begun = Instant::now();
    // Each flush hands over a batch, so the queue is full long before the end.
    let mut batches = 0;
    while begun.elapsed() < SECONDS {
        let call = Instant::now();
        log.event(&refused("a"));
        log.flush();
        assert!(call.elapsed() < Duration::from_millis(500), "it waited");
        batches += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(batches > 100, "{batches} batches");
    drop(sender);
    std::thread::sleep(Duration::from_millis(1_050));
    log.event(&answered("b", 200));
    log.flush();
    let lines = written.wait_for(|lines| lines.iter().any(|line| line["id"] == "b"));
    let missed = lines.iter().find(|line| line["kind"] == "batches");
    assert!(missed.is_some(), "{lines:#?}");
}

/// An output that takes its time for every batch.
struct SlowOutput(SharedOutput);

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(50));
        self.0.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A process that stopped ended before its writer's thread had written the last batch, so the log
/// named no cause of a request that was refused in the last half second (soak, seed 1).
#[test]
fn the_last_lines_are_written_before_the_process_ends() {
    let written = SharedOutput::default();
    let log = EventLog::new(SystemClock, SlowOutput(written.clone())).expect("a thread starts");
    for id in ["a", "b", "c"] {
        log.event(&refused(id));
        log.flush();
    }
    log.close();
    assert_eq!(written.lines().len(), 3);
}

/// A reader that stopped reading must not keep a process that was asked to stop.
#[test]
fn a_reader_that_stopped_reading_does_not_hold_up_the_end() {
    let (_sender, release) = channel();
    let output = BlockedOutput {
        release,
        written: SharedOutput::default(),
    };
    let log = EventLog::new(SystemClock, output).expect("a thread starts");
    log.event(&refused("a"));
    let begun = Instant::now();
    log.close();
    assert!(begun.elapsed() < Duration::from_secs(1));
}
