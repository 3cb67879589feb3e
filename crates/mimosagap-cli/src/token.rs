//! `token`: a new secret for a team and the rule line that admits it.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use mimosagap_types::prelude::*;
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::error::CommandError;
use crate::output::Report;

const TOKEN_BYTES: usize = 24;

/// Makes a token. It is printed once and kept nowhere.
pub fn create(team: &str) -> Result<Report, CommandError> {
    let mut bytes = [0; TOKEN_BYTES];
    getrandom::fill(&mut bytes).map_err(|error| {
        CommandError::Usage(format!("the system gives no random numbers: {error}"))
    })?;
    let token = format!("mg_{}", URL_SAFE_NO_PAD.encode(bytes));
    let digest = RequestDigest(Sha256::digest(token.as_bytes()).into());
    let line = format!("team {team} token sha256:{digest} # ROLE: reason");
    let json = json!({"token": token, "rule": line});
    Ok(Report::new(format!("token: {token}\nrule:  {line}"), json))
}
