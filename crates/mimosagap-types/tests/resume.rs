//! Resume keys must not be forged, outlive their lifetime or pass between teams.

use std::time::{Duration, UNIX_EPOCH};

use mimosagap_types::prelude::*;
use mimosagap_types::resume::{FleetKeys, RESUME_LIFETIME, ResumeError, ResumeKey};

fn key() -> ResumeKey {
    ResumeKey {
        target: "127.0.0.1:8000".parse().unwrap(),
        incarnation: Incarnation(7),
        response: "resp-1".to_owned(),
        team: TeamName::new("quotes"),
        issued: 1_000,
    }
}

fn keys(secret: &str) -> FleetKeys {
    FleetKeys::new(vec![secret.as_bytes().to_vec()])
}

#[test]
fn round_trip_and_rotation() {
    let now = UNIX_EPOCH + Duration::from_secs(1_001);
    let text = key().seal(&keys("old"));
    let rotated = FleetKeys::new(vec![b"new".to_vec(), b"old".to_vec()]);
    assert_eq!(
        ResumeKey::open(&text, &rotated, &TeamName::new("quotes"), now),
        Ok(key())
    );
}

#[test]
fn refuses_forged_expired_and_foreign_keys() {
    let now = UNIX_EPOCH + Duration::from_secs(1_001);
    let team = TeamName::new("quotes");
    let text = key().seal(&keys("a"));
    assert_eq!(
        ResumeKey::open(&text, &keys("b"), &team, now),
        Err(ResumeError::Forged)
    );
    assert_eq!(
        ResumeKey::open("resp_x", &keys("a"), &team, now),
        Err(ResumeError::Forged)
    );
    let other_text = ResumeKey {
        response: "resp-2".to_owned(),
        ..key()
    }
    .seal(&keys("a"));
    assert_ne!(text[text.len() - 43..], other_text[other_text.len() - 43..]);
    let late = now + RESUME_LIFETIME;
    assert_eq!(
        ResumeKey::open(&text, &keys("a"), &team, late),
        Err(ResumeError::Expired)
    );
    let other = TeamName::new("proofs");
    assert_eq!(
        ResumeKey::open(&text, &keys("a"), &other, now),
        Err(ResumeError::OtherTeam)
    );
}
