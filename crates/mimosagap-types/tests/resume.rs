//! A resume token is rejected if it is forged, expired or used by another team.

use std::time::{Duration, UNIX_EPOCH};

use mimosagap_types::prelude::*;
use mimosagap_types::resume::{FleetKeys, RESUME_TOKEN_LIFETIME, ResumeError, ResumeToken};

fn token() -> ResumeToken {
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
fn token_is_verified_after_key_rotation() {
    let now = UNIX_EPOCH + Duration::from_secs(1_001);
    let text = token().sign(&keys("old"));
    let rotated = FleetKeys::new(vec![b"new".to_vec(), b"old".to_vec()]);
    assert_eq!(
        ResumeToken::verify(&text, &rotated, &TeamName::new("quotes"), now),
        Ok(token())
    );
}

#[test]
fn rejects_invalid_expired_and_foreign_tokens() {
    let now = UNIX_EPOCH + Duration::from_secs(1_001);
    let team = TeamName::new("quotes");
    let text = token().sign(&keys("a"));
    assert_eq!(
        ResumeToken::verify(&text, &keys("b"), &team, now),
        Err(ResumeError::Invalid)
    );
    assert_eq!(
        ResumeToken::verify("resp_x", &keys("a"), &team, now),
        Err(ResumeError::Invalid)
    );
    let other_text = ResumeToken {
        response_id: "resp-2".to_owned(),
        ..token()
    }
    .sign(&keys("a"));
    assert_ne!(text[text.len() - 43..], other_text[other_text.len() - 43..]);
    let expired_at = now + RESUME_TOKEN_LIFETIME;
    assert_eq!(
        ResumeToken::verify(&text, &keys("a"), &team, expired_at),
        Err(ResumeError::Expired)
    );
    let other_team = TeamName::new("proofs");
    assert_eq!(
        ResumeToken::verify(&text, &keys("a"), &other_team, now),
        Err(ResumeError::OtherTeam)
    );
}
