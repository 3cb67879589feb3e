//! A misspelt key or a value out of range must not start a daemon with settings that nobody meant.
//! The check must refuse the file and name the path of the fault.

use mimosagap_settings::Settings;
use rstest::rstest;

const VALID_SETTINGS: &str = r#"{
  "location": {"zone": "norte-a1", "region": "norte-a"},
  "listen": {"callers": "127.0.0.1:7000", "peers": "127.0.0.1:7001", "admin": "127.0.0.1:7002"},
  "store": {"address": "127.0.0.1:2379", "timeout_ms": 500},
  "host_list": "127.0.0.1:2380",
  "peers": ["127.0.0.2:7001"],
  "fleet_keys": ["bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ=="],
  "deployments": [
    {"name": "assistant", "kind": "engine", "models": ["quotes"], "checks_fencing": true},
    {"name": "agenda", "kind": "service", "repeatable": ["GET /visits"]}
  ]
}"#;

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse(VALID_SETTINGS).expect("the example is valid");
    let agenda = &settings.deployments[1];
    assert!(agenda.is_repeatable("GET", "/visits/7"));
    assert!(!agenda.is_repeatable("GET", "/visits-cancel"));
    assert!(!agenda.is_repeatable("POST", "/visits"));
    assert!(
        settings
            .decode_fleet_keys()
            .verify(b"m", &settings.decode_fleet_keys().sign(b"m"))
    );
}

#[rstest]
#[case::unknown_key(r#""zone": "norte-a1""#, r#""zon": "norte-a1""#, "location")]
#[case::wrong_type(
    r#""timeout_ms": 500"#,
    r#""timeout_ms": "500 ms""#,
    "store.timeout_ms"
)]
#[case::out_of_range(r#""timeout_ms": 500"#, r#""timeout_ms": 5"#, "store.timeout_ms")]
#[case::host_name("127.0.0.1:2379", "store.example:2379", "store.address")]
#[case::duplicate_address("127.0.0.1:7001", "127.0.0.1:7000", "listen.peers")]
#[case::port_zero("127.0.0.1:7002", "127.0.0.1:0", "listen.admin")]
#[case::short_key("bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ==", "c2hvcnQ=", "fleet_keys[0]")]
#[case::no_models(r#""models": ["quotes"], "#, "", "deployments[0].models")]
#[case::call_pattern("GET /visits", "get visits", "deployments[1].repeatable[0]")]
#[case::duplicate_name(r#""agenda""#, r#""assistant""#, "deployments[1].name")]
fn error_names_the_path_of_the_fault(#[case] from: &str, #[case] to: &str, #[case] path: &str) {
    assert!(VALID_SETTINGS.contains(from));
    let errors = Settings::parse(&VALID_SETTINGS.replace(from, to)).unwrap_err();
    assert!(errors[0].path.starts_with(path), "{errors:?}");
    assert!(!errors[0].remedy.is_empty());
}

#[test]
fn malformed_json_is_refused() {
    assert!(Settings::parse("{").is_err());
    assert!(Settings::parse(&format!("{VALID_SETTINGS} x")).is_err());
}
