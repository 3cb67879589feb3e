//! Reading logs.

use std::time::Duration;

use mimosagap_explain::LogSet;

fn read(log: &str) -> LogSet {
    let mut logs = LogSet::default();
    logs.read_log("file", log.as_bytes())
        .expect("memory can be read");
    logs
}

#[test]
fn the_host_is_the_collectors_the_started_one_or_the_files() {
    let logs = read(concat!(
        "{\"time_ms\":1000,\"boot_ms\":10,\"event\":\"host\"}\n",
        "{\"time_ms\":1001,\"boot_ms\":11,\"event\":\"started\",\"host\":\"h1\"}\n",
        "{\"time_ms\":1002,\"boot_ms\":12,\"event\":\"host\"}\n",
        "0.25 h2 {\"time_ms\":1003,\"boot_ms\":13,\"event\":\"host\"}\n",
    ));
    let hosts: Vec<&str> = logs.records().iter().map(|one| one.host.as_str()).collect();
    assert_eq!(hosts, ["file", "h1", "h1", "h2"]);
}

#[test]
fn steps_of_a_wall_clock_do_not_move_its_lines() {
    let logs = read(concat!(
        "{\"time_ms\":100000,\"boot_ms\":500,\"event\":\"a\"}\n",
        "{\"time_ms\":40100,\"boot_ms\":600,\"event\":\"b\"}\n",
        "{\"time_ms\":100300,\"boot_ms\":800,\"event\":\"c\"}\n",
    ));
    let times: Vec<Duration> = logs.records().iter().map(|one| one.timestamp).collect();
    assert_eq!(
        times,
        [100_000, 100_100, 100_300].map(Duration::from_millis)
    );
    assert!(logs.has_stepped("file"));
}

#[test]
fn a_host_that_starts_again_has_a_new_scale() {
    let logs = read(concat!(
        "{\"time_ms\":100000,\"boot_ms\":90000,\"event\":\"a\"}\n",
        "{\"time_ms\":130000,\"boot_ms\":700,\"event\":\"b\"}\n",
    ));
    assert_eq!(logs.records()[1].timestamp, Duration::from_secs(130));
    assert!(!logs.has_stepped("file"));
}

#[test]
fn lines_that_are_cut_or_foreign_are_counted() {
    let logs = read("thread panicked\n\n{\"time_ms\":1,\"boot\n{\"a\":1}\n");
    assert_eq!(logs.unreadable(), 3);
    assert!(logs.records().is_empty());
}
