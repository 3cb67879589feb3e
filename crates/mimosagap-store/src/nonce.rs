//! Random ids by which a writer recognizes its own records when it reads them back.

use std::fmt;

use serde::{Deserialize, Serialize};

/// 128 random bits, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(String);

impl Nonce {
    /// Draws a nonce from the operating system's random source.
    ///
    /// # Panics
    /// If that source fails.
    #[must_use]
    pub fn random() -> Self {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).expect("the operating system provides random bytes");
        Self(format!("{:032x}", u128::from_be_bytes(bytes)))
    }
}

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
