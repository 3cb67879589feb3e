//! Parsing of logs: which host wrote a line, and when.

use std::time::Duration;

use mimosagap_explain::LogSet;

fn read_logs(log: &str) -> LogSet {
    let mut logs = LogSet::default();
    logs.read_log("file", log.as_bytes())
        .expect("memory can be read");
    logs
}

#[test]
fn host_comes_from_the_collector_the_started_line_or_the_file_name() {
    let logs = read_logs(concat!(
        "{\"time_ms\":1000,\"boot_ms\":10,\"event\":\"host\"}\n",
        "{\"time_ms\":1001,\"boot_ms\":11,\"event\":\"started\",\"host\":\"h1\"}\n",
        "{\"time_ms\":1002,\"boot_ms\":12,\"event\":\"host\"}\n",
        "0.25 h2 {\"time_ms\":1003,\"boot_ms\":13,\"event\":\"host\"}\n",
    ));
    let hosts: Vec<&str> = logs
        .records()
        .iter()
        .map(|record| record.host.as_str())
        .collect();
    assert_eq!(hosts, ["file", "h1", "h1", "h2"]);
}

#[test]
fn clock_steps_do_not_change_timestamps() {
    let logs = read_logs(concat!(
        "{\"time_ms\":100000,\"boot_ms\":500,\"event\":\"a\"}\n",
        "{\"time_ms\":40100,\"boot_ms\":600,\"event\":\"b\"}\n",
        "{\"time_ms\":100300,\"boot_ms\":800,\"event\":\"c\"}\n",
    ));
    let timestamps: Vec<Duration> = logs
        .records()
        .iter()
        .map(|record| record.timestamp)
        .collect();
    assert_eq!(
        timestamps,
        [100_000, 100_100, 100_300].map(Duration::from_millis)
    );
    assert!(logs.has_clock_step("file"));
}

#[test]
fn rebooted_host_gets_a_new_time_scale() {
    let logs = read_logs(concat!(
        "{\"time_ms\":100000,\"boot_ms\":90000,\"event\":\"a\"}\n",
        "{\"time_ms\":130000,\"boot_ms\":700,\"event\":\"b\"}\n",
    ));
    assert_eq!(logs.records()[1].timestamp, Duration::from_secs(130));
    assert!(!logs.has_clock_step("file"));
}

#[test]
fn truncated_and_foreign_lines_are_counted() {
    let logs = read_logs("thread panicked\n\n{\"time_ms\":1,\"boot\n{\"a\":1}\n");
    assert_eq!(logs.unreadable_lines(), 3);
    assert!(logs.records().is_empty());
}
