//! Resume keys must not be forged, outlive their lifetime or pass between teams.

use std::time::{Duration, UNIX_EPOCH};

use mimosagap_types::prelude::*;
use mimosagap_types::resume::{FleetKeys, RESUME_TOKEN_LIFETIME, ResumeError, ResumeToken};

fn key() -> ResumeToken {
    ResumeToken {
        target: "127.0.0.1:8000".parse().unwrap(),
        incarnation: Incarnation(7),
        response_id: "resp-1".to_owned(),
        team: TeamName::new("quotes"),
        issued_unix_s: 1_000,
    }
}

fn keys(secret: &str) -> FleetKeys {
    FleetKeys::new(vec![secret.as_bytes().to_vec()])
}

#[test]
fn round_trip_and_rotation() {
    let now = UNIX_EPOCH + Duration::from_secs(1_001);
    let text = key().sign(&keys("old"));
    let rotated = FleetKeys::new(vec![b"new".to_vec(), b"old".to_vec()]);
    assert_eq!(
        ResumeToken::verify(&text, &rotated, &TeamName::new("quotes"), now),
        Ok(key())
    );
}

#[test]
fn refuses_forged_expired_and_foreign_keys() {
    let now = UNIX_EPOCH + Duration::from_secs(1_001);
    let team = TeamName::new("quotes");
    let text = key().sign(&keys("a"));
    assert_eq!(
        ResumeToken::verify(&text, &keys("b"), &team, now),
        Err(ResumeError::Forged)
    );
    assert_eq!(
        ResumeToken::verify("resp_x", &keys("a"), &team, now),
        Err(ResumeError::Forged)
    );
    let other_text = ResumeToken {
        response_id: "resp-2".to_owned(),
        ..key()
    }
    .sign(&keys("a"));
    assert_ne!(text[text.len() - 43..], other_text[other_text.len() - 43..]);
    let late = now + RESUME_TOKEN_LIFETIME;
    assert_eq!(
        ResumeToken::verify(&text, &keys("a"), &team, late),
        Err(ResumeError::Expired)
    );
    let other = TeamName::new("proofs");
    assert_eq!(
        ResumeToken::verify(&text, &keys("a"), &other, now),
        Err(ResumeError::OtherTeam)
    );
}
