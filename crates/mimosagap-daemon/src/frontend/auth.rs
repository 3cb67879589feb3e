//! Authentication of callers, and the class of a request.

use std::time::Duration;

use hyper::header::{AUTHORIZATION, HeaderMap};
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::shared::SharedState;

/// Retry delay for callers while this daemon has no rules yet.
const NO_RULES_RETRY: Duration = Duration::from_secs(1);

/// The class of requests that specify none.
const DEFAULT_CLASS: &str = "default";

const MAX_CLASS_BYTES: usize = 64;

/// Returns the team whose token the request carries.
///
/// # Errors
/// A refusal with status 401, or 503 while no rules are known.
pub fn authenticate(shared: &SharedState, headers: &HeaderMap) -> Result<TeamName, Refusal> {
    let rules = shared.view.rules();
    if rules.revision == RulesRevision(0) {
        let message = "no rules are known here yet; try again, or at another address";
        return Err(Refusal::new(RefusalCause::Isolated, message).with_retry_after(NO_RULES_RETRY));
    }
    let message = "send a token of your team as \"Authorization: Bearer TOKEN\"";
    bearer_token(headers)
        .and_then(|token| find_team(&rules, token))
        .ok_or_else(|| Refusal::new(RefusalCause::Unauthenticated, message))
}

fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, token) = value.split_at_checked(7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| token.trim_ascii())
}

/// Finds the team of a token. Compares with every digest in constant time, so that the duration does
/// not reveal which one matches.
fn find_team(rules: &RuleSet, token: &[u8]) -> Option<TeamName> {
    let digest: [u8; 32] = Sha256::digest(token).into();
    let mut found_team = None;
    for (known_digest, team) in rules.token_digests() {
        if bool::from(known_digest.ct_eq(&digest)) {
            found_team = Some(team.clone());
        }
    }
    found_team
}

/// Returns the class of a request: the `x-request-class` header, else `metadata_class`, else the
/// default class.
///
/// # Errors
/// If the name is empty, too long or contains other characters than the rules allow.
pub fn request_class(
    headers: &HeaderMap,
    metadata_class: Option<&str>,
) -> Result<ClassName, Refusal> {
    let name = match headers.get("x-request-class") {
        Some(value) => value.to_str().unwrap_or_default(),
        None => metadata_class.unwrap_or(DEFAULT_CLASS),
    };
    let is_valid = (1..=MAX_CLASS_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if is_valid {
        return Ok(ClassName::new(name));
    }
    let message = "a class has 1 to 64 letters, digits, '-', '_' or '.'";
    Err(Refusal::new(RefusalCause::BadRequest, message))
}
