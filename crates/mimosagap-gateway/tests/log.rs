//! The event log: documented fields, rate limits, and a reader that stalls.

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_gateway::log::{EventLog, LogEvent, MAX_LINES_PER_SECOND, STREAM_COMPLETE};
use mimosagap_types::prelude::*;
use rstest::rstest;
use serde_json::Value;

/// Longest wait for the writer thread.
const WRITER_TIMEOUT: Duration = Duration::from_secs(5);

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

    /// Waits until the written lines satisfy a condition.
    fn wait_for(&self, condition: impl Fn(&[Value]) -> bool) -> Vec<Value> {
        let started_at = Instant::now();
        loop {
            let lines = self.lines();
            if condition(&lines) {
                return lines;
            }
            assert!(
                started_at.elapsed() < WRITER_TIMEOUT,
                "the lines are {lines:#?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Output whose writes block until the sender of `release` is dropped.
struct BlockedOutput {
    release: Receiver<()>,
    written: SharedOutput,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Fails as soon as the sender is dropped, which unblocks this write and all later ones.
        let _ = self.release.recv();
        self.written.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn refused_event(id: &str) -> LogEvent<'_> {
    LogEvent::Refused {
        id,
        request: String::new(),
        suspect: String::new(),
        reason: "overload",
        status: 503,
        after_ms: 3,
        config_version: 7,
        config_age_ms: 40,
    }
}

fn answered_event(id: &str, status: u16) -> LogEvent<'_> {
    LogEvent::Answered {
        id,
        target: "i-1",
        status,
        after_ms: 12,
    }
}

fn stream_ended_event<'a>(id: &'a str, how: &'a str) -> LogEvent<'a> {
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

/// One event of each kind that concerns the process, its targets or other hosts.
fn state_events() -> Vec<LogEvent<'static>> {
    let empty = String::new;
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
            cause: empty(),
        },
        LogEvent::Store {
            reachable: true,
            cause: empty(),
        },
        LogEvent::TargetListed {
            target: "i-1",
            address: empty(),
            version: "v1",
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
        LogEvent::TargetRateLimit {
            target: "t",
            source: "answer",
            per_second: Some(3.7),
        },
        LogEvent::TargetCold {
            target: "t",
            source: "entry",
            remaining_ms: 8000,
            per_second: 22.0,
        },
        LogEvent::HeaderUnread {
            target: "t",
            header: "h",
            cause: "c",
        },
        LogEvent::RatePermit {
            id: "a",
            target: "t",
            result: "denied",
            keeper: "h",
            per_second: Some(3.7),
            named_ms: Some(1),
            wait_ms: 0,
            ask_in_ms: 1,
        },
        LogEvent::EntryUnreadable {
            key: "k",
            cause: empty(),
        },
        LogEvent::Host {
            name: "h",
            listed: true,
        },
        LogEvent::TargetCrashed {
            target: "i-1",
            id: "a",
            request: empty(),
            parts: empty(),
            events: 1,
        },
        LogEvent::LinesLeftOut {
            kind: "sent",
            count: 1,
        },
        LogEvent::Trouble {
            what: "accept",
            cause: empty(),
        },
    ]
}

/// One event of each kind that concerns the store's history, requests that crash targets,
/// retries, or requests handed to other hosts.
fn belief_events() -> Vec<LogEvent<'static>> {
    let empty = String::new;
    vec![
        LogEvent::StoreEra {
            era: 2,
            previous: 1,
        },
        LogEvent::ConfigSkipped {
            version: 2,
            revision: 1,
            version_in_force: 3,
            revision_in_force: 2,
        },
        LogEvent::Quarantined {
            what: empty(),
            crashes: 3,
            source: "crash",
        },
        LogEvent::ProvedSound {
            what: empty(),
            source: "answer",
        },
        LogEvent::Retry {
            id: "a",
            service: "s",
            purpose: "attempt",
            allowed: true,
            credit: 0.5,
            capacity: 1.0,
            hosts: 1,
            up_ms: 1,
        },
        LogEvent::RetryLoan {
            service: "s",
            lender: "h",
            granted: true,
        },
        LogEvent::Hedge {
            id: "a",
            route: "r",
            target: "t",
            outcome: "denied",
            cause: "extra_limit",
            trigger: "percentile",
            delay_ms: 90,
            after_ms: 91,
        },
        LogEvent::TargetsReachable {
            service: "s",
            reachable: false,
            after_ms: 0,
        },
        LogEvent::Relayed {
            id: "a",
            host: "h",
            service: "s",
            outcome: "served",
            status: 200,
            after_ms: 1,
        },
        LogEvent::RelayRefused {
            id: "a",
            reason: "no_target",
            after_ms: 1,
        },
        LogEvent::QuarantineTrial {
            id: "a",
            what: empty(),
        },
        LogEvent::Residency {
            id: "a",
            service: "s",
            regions: empty(),
            result: "sent",
            target: "i-1",
            region: "r1",
            config_version: 1,
        },
        LogEvent::RegionUnknown {
            version: 1,
            region: "r9",
            list: "route a",
        },
    ]
}

/// One event of each kind that concerns targets, zones and hosts that are avoided, and retries that
/// are not sent.
fn avoidance_events() -> Vec<LogEvent<'static>> {
    vec![
        LogEvent::HostSilent {
            name: "h",
            silent: true,
            silent_ms: 6000,
        },
        LogEvent::ZoneEvacuation {
            zone: "z",
            change: "started",
            source: "store",
            config_age_ms: 40,
            is_current: true,
        },
        LogEvent::RetrySkipped {
            id: "a",
            route: "r",
            cause: "error_response",
            value: 0.3,
            credit: 1.2,
        },
        LogEvent::TargetSuspected {
            target: "t",
            source: "wait",
            evidence: "silent",
            step: "suspected",
            waited_ms: 900,
        },
        LogEvent::SuspicionCleared {
            target: "t",
            source: "event",
            after_ms: 700,
        },
        LogEvent::SuspicionWithheld {
            target: "t",
            waited_ms: 900,
        },
    ]
}

/// One event of each kind that concerns the limits on clients.
fn limit_events() -> Vec<LogEvent<'static>> {
    vec![
        LogEvent::RequestMemory {
            id: "a",
            action: "evicted",
            cause: "stalled",
            received_bytes: 1,
            held_bytes: 2,
            stalled_ms: 1_000,
            used_bytes: 3,
            capacity_bytes: 4,
        },
        LogEvent::ConnectionClosed {
            listener: "callers",
            address: String::new(),
            cause: "silent",
            after_ms: 1,
        },
    ]
}

/// One event of each kind that concerns a request.
fn request_events() -> Vec<LogEvent<'static>> {
    let empty = String::new;
    vec![
        LogEvent::Sent {
            id: "a",
            request: empty(),
            parts: empty(),
            target: "i-1",
            version: "v1",
            resumes: "",
            last_event: 0,
            attempt: 1,
            requests: 0,
            tokens: 0,
            config_version: 1,
            config_age_ms: 1,
        },
        LogEvent::Waits {
            id: "a",
            request: empty(),
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
        refused_event("a"),
        LogEvent::CallerLeft {
            id: "a",
            after_ms: 1,
        },
        answered_event("a", 200),
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
        LogEvent::VersionAdmitted {
            service: "s",
            version: "v1",
            source: "store",
        },
        LogEvent::VersionRetired {
            service: "s",
            version: "v1",
        },
        LogEvent::VersionHistory {
            is_complete: false,
            recorded_era: Some(1),
            era: 2,
        },
        LogEvent::StreamResumed {
            id: "b",
            resumes: "a",
            last_event: 1,
            service: "s",
            version: "v1",
            source: "memory",
            after_ms: 1,
        },
        LogEvent::StreamWentOn {
            id: "a",
            target: "i-1",
            from_version: "v1",
            version: "v1",
            last_event: 1,
            silent_ms: 1,
        },
        stream_ended_event("a", STREAM_COMPLETE),
        LogEvent::Move {
            id: "a",
            from: "i-1",
            to: "i-2",
            step: "copy",
            after_ms: 1,
        },
    ]
}

/// Events and fields in the table of `docs/OPERATIONS.md`, whose rows begin with the event and its
/// fields in backticks.
fn documented_fields() -> BTreeSet<(String, Vec<String>)> {
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
    let events: Vec<LogEvent<'_>> = state_events()
        .into_iter()
        .chain(belief_events())
        .chain(avoidance_events())
        .chain(limit_events())
        .chain(request_events())
        .collect();
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
    let documented: BTreeSet<(String, Vec<String>)> = documented_fields()
        .into_iter()
        .map(|(event, mut fields)| {
            fields.sort();
            (event, fields)
        })
        .collect();
    assert_eq!(logged, documented);
}

/// An overloaded fleet rejects thousands of requests per second, and each one logs a line.
#[test]
fn lines_over_the_rate_limit_are_dropped_and_counted() {
    const EVENT_COUNT: usize = 20_000;
    let output = SharedOutput::default();
    let log = EventLog::new(SystemClock, output.clone()).expect("a thread starts");
    let started_at = Instant::now();
    for _ in 0..EVENT_COUNT {
        log.event(&refused_event("a"));
    }
    let seconds = started_at.elapsed().as_secs() + 2;
    std::thread::sleep(Duration::from_millis(1_050));
    log.event(&answered_event("b", 200));
    log.flush();
    let lines = output.wait_for(|lines| lines.iter().any(|line| line["event"] == "answered"));
    let logged = lines.iter().filter(|line| line["event"] == "refused");
    let logged = logged.count();
    let dropped: u64 = lines
        .iter()
        .filter(|line| line["event"] == "lines_left_out")
        .map(|line| {
            assert_eq!(line["kind"], "failed");
            line["count"].as_u64().expect("a count")
        })
        .sum();
    assert_eq!(logged as u64 + dropped, EVENT_COUNT as u64);
    assert!(
        logged as u64 <= u64::from(MAX_LINES_PER_SECOND) * seconds,
        "{logged} lines in {seconds} s"
    );
}

/// At a high rate of successful requests, the few failures must still be logged.
#[rstest]
#[case::refusal(&refused_event("b"))]
#[case::failed_response(&answered_event("b", 500))]
#[case::broken_stream(&stream_ended_event("b", "broken"))]
fn successes_do_not_use_up_the_rate_limit_of_failures(#[case] failure: &LogEvent<'_>) {
    let output = SharedOutput::default();
    let log = EventLog::new(SystemClock, output.clone()).expect("a thread starts");
    for _ in 0..MAX_LINES_PER_SECOND * 4 {
        log.event(&answered_event("a", 200));
        log.event(&stream_ended_event("a", STREAM_COMPLETE));
    }
    log.event(failure);
    log.flush();
    output.wait_for(|lines| lines.iter().any(|line| line["id"] == "b"));
}

#[test]
fn a_stalled_reader_blocks_nothing_and_dropped_batches_are_counted() {
    const STALL: Duration = Duration::from_secs(2);
    let (sender, release): (Sender<()>, Receiver<()>) = channel();
    let written = SharedOutput::default();
    let output = BlockedOutput {
        release,
        written: written.clone(),
    };
    let log = EventLog::new(SystemClock, output).expect("a thread starts");
    let started_at = Instant::now();
    // Each flush sends a batch, so the queue fills up long before the end.
    let mut batches = 0;
    while started_at.elapsed() < STALL {
        let call_started_at = Instant::now();
        log.event(&refused_event("a"));
        log.flush();
        assert!(
            call_started_at.elapsed() < Duration::from_millis(500),
            "logging blocked"
        );
        batches += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(batches > 100, "{batches} batches");
    drop(sender);
    std::thread::sleep(Duration::from_millis(1_050));
    log.event(&answered_event("b", 200));
    log.flush();
    let lines = written.wait_for(|lines| lines.iter().any(|line| line["id"] == "b"));
    let drop_report = lines.iter().find(|line| line["kind"] == "batches");
    assert!(drop_report.is_some(), "{lines:#?}");
}

/// Output that needs 50 ms for each batch.
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

/// A process that exits before its writer thread has written the last batch loses the reasons for
/// the requests rejected in its last half second.
#[test]
fn close_waits_until_the_last_lines_are_written() {
    let written = SharedOutput::default();
    let log = EventLog::new(SystemClock, SlowOutput(written.clone())).expect("a thread starts");
    for id in ["a", "b", "c"] {
        log.event(&refused_event(id));
        log.flush();
    }
    log.close();
    assert_eq!(written.lines().len(), 3);
}

/// A stalled reader of the output must not delay the shutdown of the process.
#[test]
fn a_stalled_reader_does_not_delay_the_shutdown() {
    let (_sender, release) = channel();
    let output = BlockedOutput {
        release,
        written: SharedOutput::default(),
    };
    let log = EventLog::new(SystemClock, output).expect("a thread starts");
    log.event(&refused_event("a"));
    let started_at = Instant::now();
    log.close();
    assert!(started_at.elapsed() < Duration::from_secs(1));
}
