//! One request that ends every engine which begins it.

use std::time::Duration;

use mimosagap_routing::quarantine::{
    CRASH_RETENTION, CrashFingerprint, Quarantine, RequestFingerprint,
};

const NOW: Duration = Duration::from_secs(1000);

#[test]
fn a_request_is_not_run_again_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    let request = RequestFingerprint::new("/quote", "team", b"body");
    for crash in ["i-1", "i-2"] {
        assert!(quarantine.record_crash(request, CrashFingerprint::new(crash, 1), NOW));
        assert!(!quarantine.is_blocked(request));
    }
    quarantine.record_crash(request, CrashFingerprint::new("i-3", 1), NOW);
    assert!(quarantine.is_blocked(request));
}

#[test]
fn one_crash_counts_once_however_many_hosts_tell() {
    let mut quarantine = Quarantine::default();
    let request = RequestFingerprint::new("/quote", "team", b"body");
    for _ in 0..5 {
        quarantine.record_crash(request, CrashFingerprint::new("i-1", 1), NOW);
    }
    assert!(!quarantine.is_blocked(request));
}

#[test]
fn the_caller_and_the_body_tell_requests_apart() {
    let mark = RequestFingerprint::new("/quote", "team", b"body");
    assert_ne!(mark, RequestFingerprint::new("/quote", "other", b"body"));
    assert_ne!(mark, RequestFingerprint::new("/quote", "team", b"other"));
    assert_eq!(mark, RequestFingerprint::new("/quote", "team", b"body"));
}

#[test]
fn crashes_are_forgotten() {
    let mut quarantine = Quarantine::default();
    let request = RequestFingerprint::new("/quote", "team", b"body");
    for crash in ["i-1", "i-2", "i-3"] {
        quarantine.record_crash(request, CrashFingerprint::new(crash, 1), NOW);
    }
    let other = RequestFingerprint::new("/other", "team", b"body");
    quarantine.record_crash(
        other,
        CrashFingerprint::new("i-9", 1),
        NOW + CRASH_RETENTION,
    );
    assert!(!quarantine.is_blocked(request));
}
