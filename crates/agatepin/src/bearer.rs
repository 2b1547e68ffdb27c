//! Verification of the bearer token of a request.

use std::fmt;

use blake3::Hash;

agatepin_core::key_type! {
    /// Why the bearer token of a request is rejected.
    pub enum BearerError {
        /// The request carries no bearer token.
        Missing,
        /// The token is not the expected one.
        Wrong,
    }
}

impl fmt::Display for BearerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "no bearer token is given",
            Self::Wrong => "the bearer token is wrong",
        })
    }
}

impl std::error::Error for BearerError {}

/// Compares bearer tokens with the expected one; accepts every request if none is expected.
#[derive(Clone, Debug, Default)]
pub struct BearerCheck {
    /// BLAKE3 hash of the expected token; `None` accepts every request.
    expected: Option<Hash>,
}

impl BearerCheck {
    /// Creates a check for `token`; `None` accepts every request.
    #[must_use]
    pub fn new(token: Option<&str>) -> Self {
        Self {
            expected: token.map(|token| blake3::hash(token.as_bytes())),
        }
    }

    /// Checks `header`, the value of the `authorization` header.
    ///
    /// # Errors
    /// The header is absent, is not a bearer token, or carries another token.
    pub fn check(&self, header: Option<&[u8]>) -> Result<(), BearerError> {
        let Some(expected) = self.expected else {
            return Ok(());
        };
        let given = header.and_then(|value| value.strip_prefix(b"Bearer "));
        // `blake3::Hash` compares in constant time.
        if blake3::hash(given.ok_or(BearerError::Missing)?) == expected {
            return Ok(());
        }
        Err(BearerError::Wrong)
    }
}
