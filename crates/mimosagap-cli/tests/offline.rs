//! Commands that need no store or daemon: invalid input must be refused with its cause and change
//! nothing.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

fn run_cli(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mimosagap"))
        .args(arguments)
        .output()
        .expect("the tool can be started")
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("the directory is writable");
    path
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["frobnicate"])]
#[case::missing_file(&["rules", "check"])]
#[case::missing_store(&["rules", "show"])]
#[case::bad_address(&["targets", "--daemon", "entry-1:7002"])]
#[case::explain_without_logs(&["explain", "a"])]
#[case::explain_a_missing_log(&["explain", "a", "no-such-file"])]
#[case::account_without_logs(&["account"])]
#[case::account_of_a_missing_log(&["account", "no-such-file"])]
#[case::unknown_option(&["rules", "check", "x", "--frobnicate"])]
fn invalid_command_lines_exit_with_2(#[case] arguments: &[&str]) {
    let output = run_cli(arguments);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!output.stderr.is_empty());
}

#[rstest]
#[case(&["--help"])]
#[case(&["rules", "--help"])]
#[case(&["rules", "apply", "--help"])]
#[case(&["--version"])]
fn help_exits_with_0(#[case] arguments: &[&str]) {
    let output = run_cli(arguments);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(!output.stdout.is_empty());
}

#[test]
fn an_invalid_rule_is_reported_with_its_line_number() {
    let path = write_file(
        "bad.txt",
        "# revision 3\nshare team a 1 # manager: x\nshare team b # y\n",
    );
    let output = run_cli(&["rules", "check", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("line 3"), "{message}");
    let output = run_cli(&["rules", "check", path.to_str().unwrap(), "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["faults"][0]["line"], 3);
}

#[test]
fn an_unreachable_store_leaves_the_file_unchanged() {
    let path = write_file("good.txt", "share team a 1 # manager: x\n");
    let name = path.to_str().unwrap();
    let output = run_cli(&["rules", "apply", name, "--store", "127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert_eq!(
        std::fs::read_to_string(&path).unwrap(),
        "share team a 1 # manager: x\n"
    );
}

#[test]
fn the_rule_line_of_a_token_is_valid() {
    let output = run_cli(&["token", "porto", "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let rule = json["rule"]
        .as_str()
        .unwrap()
        .replace("# ROLE: reason", "# manager: test");
    let path = write_file("token.txt", &rule);
    assert_eq!(
        run_cli(&["rules", "check", path.to_str().unwrap()])
            .status
            .code(),
        Some(0)
    );
}

#[rstest]
#[case::failed_request("a", 0, "cause: overload")]
#[case::unknown_id("b", 1, "no line has the id")]
fn a_request_is_explained_from_the_logs(
    #[case] id: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let log = write_file(
        &format!("host-{id}.log"),
        "{\"time_ms\":9,\"boot_ms\":1,\"event\":\"refused\",\"id\":\"a\",\"reason\":\"overload\"}\n",
    );
    let output = run_cli(&["explain", id, &log.display().to_string()]);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains(expected), "{text}");
}
