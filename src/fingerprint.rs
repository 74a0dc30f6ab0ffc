//! Fingerprints that identify the same request across attempts.

use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes.
const FINGERPRINT_LEN: usize = 16;

/// Truncated SHA-256 of a request's organisation, host, path, query and body.
///
/// Attempts with the same request have equal fingerprints. The organisation is
/// hashed so that identical requests of two organisations have different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Fingerprint([u8; FINGERPRINT_LEN]);

impl Fingerprint {
    /// Computes the fingerprint of a request; `target` is its path and query.
    pub(crate) fn of(organisation: Option<&str>, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(organisation.is_some())]);
        let organisation = organisation.unwrap_or_default();
        for part in [organisation.as_bytes(), host.as_bytes(), target.as_bytes()] {
            // The length prefix prevents collisions between requests that differ
            // only in where one part ends and the next begins.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let digest = hasher.finalize();
        let mut truncated = [0; FINGERPRINT_LEN];
        truncated.copy_from_slice(&digest[..FINGERPRINT_LEN]);
        Self(truncated)
    }
}

/// Formats the fingerprint as lower-case hexadecimal digits.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
