//! A request crashes every engine that starts it.

use std::time::Duration;

use mimosagap_routing::quarantine::{
    CRASH_RETENTION, CrashFingerprint, Quarantine, RequestFingerprint,
};

const NOW: Duration = Duration::from_secs(1000);

#[test]
fn a_request_is_blocked_after_three_crashes() {
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
fn a_crash_reported_by_several_hosts_counts_once() {
    let mut quarantine = Quarantine::default();
    let request = RequestFingerprint::new("/quote", "team", b"body");
    for _ in 0..5 {
        quarantine.record_crash(request, CrashFingerprint::new("i-1", 1), NOW);
    }
    assert!(!quarantine.is_blocked(request));
}

#[test]
fn the_fingerprint_depends_on_team_and_body() {
    let fingerprint = RequestFingerprint::new("/quote", "team", b"body");
    assert_ne!(
        fingerprint,
        RequestFingerprint::new("/quote", "other", b"body")
    );
    assert_ne!(
        fingerprint,
        RequestFingerprint::new("/quote", "team", b"other")
    );
    assert_eq!(
        fingerprint,
        RequestFingerprint::new("/quote", "team", b"body")
    );
}

#[test]
fn crashes_expire() {
    let mut quarantine = Quarantine::default();
    let request = RequestFingerprint::new("/quote", "team", b"body");
    for crash in ["i-1", "i-2", "i-3"] {
        quarantine.record_crash(request, CrashFingerprint::new(crash, 1), NOW);
    }
    let other_request = RequestFingerprint::new("/other", "team", b"body");
    quarantine.record_crash(
        other_request,
        CrashFingerprint::new("i-9", 1),
        NOW + CRASH_RETENTION,
    );
    assert!(!quarantine.is_blocked(request));
}
