//! Tests of the command line of `mimosagapd`.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

const SETTINGS: &str = r#"{
    "location": {"zone": "norte-a1", "region": "norte-a"},
    "listen": {"callers": "127.62.9.1:7000", "peers": "127.62.9.1:7001", "admin": "127.62.9.1:7002"},
    "store": {"address": "127.62.9.9:2379"},
    "host_list": "127.62.9.9:2380",
    "fleet_keys": ["bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ=="],
    "deployments": []
}"#;

fn run_daemon(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mimosagapd"));
    command.args(arguments).output().unwrap()
}

fn write_settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(text.as_bytes()).unwrap();
    path
}

/// Guards against a daemon that starts with invalid settings, or does not name the fault.
#[rstest]
#[case::out_of_range(
    "timeout",
    r#""address": "127.62.9.9:2379""#,
    r#""address": "127.62.9.9:2379", "timeout_ms": 1"#,
    "store.timeout_ms: 1 is out of range"
)]
#[case::used_twice("twice", "127.62.9.1:7001", "127.62.9.1:7000", "listen.peers: ")]
#[case::unknown_key("key", r#""host_list""#, r#""hostlist""#, "unknown field `hostlist`")]
#[case::not_json("json", "\"deployments\": []\n}", "\"deployments\": [", "EOF")]
fn invalid_settings_start_nothing(
    #[case] name: &str,
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] expected_error: &str,
) {
    let path = write_settings_file(name, &SETTINGS.replace(original, replacement));
    let path = path.to_str().unwrap();
    for arguments in [&["--settings", path][..], &["--settings", path, "--check"]] {
        let output = run_daemon(arguments);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            text.contains(expected_error) && text.contains(path),
            "{text}"
        );
        assert!(!text.contains("event="), "something was started: {text}");
    }
}

/// Guards against unknown or invalid options that are silently accepted.
#[rstest]
#[case(&[], 2, "--settings")]
#[case(&["--settings", "/nonexistent/file"], 2, "--settings must name a readable file")]
#[case(&["--settings", "x", "--verbose"], 2, "unknown option --verbose")]
#[case(&["--settings", "x", "--log-level", "loud"], 2, "is not a log level")]
#[case(&["--help"], 0, "Usage: mimosagapd")]
#[case(&["--version"], 0, "mimosagapd 0.1.0")]
fn options_are_validated(
    #[case] arguments: &[&str],
    #[case] expected_code: i32,
    #[case] expected_text: &str,
) {
    let output = run_daemon(arguments);
    let output_text = [output.stdout, output.stderr].concat();
    let output_text = String::from_utf8_lossy(&output_text);
    assert_eq!(output.status.code(), Some(expected_code), "{output_text}");
    assert!(output_text.contains(expected_text), "{output_text}");
}

/// Guards against a check that rejects valid settings or starts a daemon.
#[test]
fn valid_settings_pass_the_check() {
    let path = write_settings_file("correct", SETTINGS);
    let output = run_daemon(&["--settings", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
}
