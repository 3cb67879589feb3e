//! `token`: creates a bearer token for a team and the rule line that admits it.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use mimosagap_types::prelude::*;
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::error::CommandError;
use crate::output::CommandReport;

/// Random bytes of a token, which are 32 characters of text.
const TOKEN_BYTES: usize = 24;

/// Creates a token. It is printed once and not stored; the rule line holds only its digest.
pub fn create(team: &str) -> Result<CommandReport, CommandError> {
    let mut bytes = [0; TOKEN_BYTES];
    getrandom::fill(&mut bytes).map_err(|error| {
        CommandError::Usage(format!(
            "the operating system provides no random bytes: {error}"
        ))
    })?;
    let token = format!("mg_{}", URL_SAFE_NO_PAD.encode(bytes));
    let digest = RequestDigest(Sha256::digest(token.as_bytes()).into());
    let rule_line = format!("team {team} token sha256:{digest} # ROLE: reason");
    let json = json!({"token": token, "rule": rule_line});
    Ok(CommandReport::new(
        format!("token: {token}\nrule:  {rule_line}"),
        json,
    ))
}
