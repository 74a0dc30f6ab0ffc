//! Fingerprints that identify the same request across attempts, and the same part of prompts
//! across requests.

use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes.
const FINGERPRINT_LEN: usize = 16;

/// First byte of what is hashed for a part. For a request it is 0 or 1.
const PART_TAG: u8 = 2;
const PART_OF_ORGANISATION_TAG: u8 = 3;

/// Truncated SHA-256 of a request's organisation, host, path, query and body, or of a part of
/// prompts.
///
/// Attempts with the same request have equal fingerprints. The organisation is
/// hashed so that identical requests of two organisations have different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Fingerprint([u8; FINGERPRINT_LEN]);

impl Fingerprint {
    /// Computes the fingerprint of a request; `target` is its path and query, and `body` the pieces
    /// of its body.
    pub(crate) fn of<'a>(
        organisation: Option<&str>,
        host: &str,
        target: &str,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(organisation.is_some())]);
        let organisation = organisation.unwrap_or_default();
        for part in [organisation.as_bytes(), host.as_bytes(), target.as_bytes()] {
            // The length prefix prevents collisions between requests that differ
            // only in where one part ends and the next begins.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        for piece in body {
            hasher.update(piece);
        }
        Self::truncate(hasher)
    }

    /// Computes the fingerprint of a part of prompts for a model.
    pub(crate) fn of_part(model: &str, id: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([PART_TAG]);
        hasher.update((model.len() as u64).to_be_bytes());
        hasher.update(model);
        hasher.update(id);
        Self::truncate(hasher)
    }

    /// Computes the fingerprint of a part in the prompts of one organisation from that in all
    /// prompts.
    pub(crate) fn within(&self, organisation: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([PART_OF_ORGANISATION_TAG]);
        hasher.update(self.0);
        hasher.update(organisation);
        Self::truncate(hasher)
    }

    fn truncate(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let mut truncated = [0; FINGERPRINT_LEN];
        truncated.copy_from_slice(&digest[..FINGERPRINT_LEN]);
        Self(truncated)
    }

    /// The bytes, as encoded in messages.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.0.to_vec()
    }

    /// The first eight bytes as a big-endian number, for checksums over sets of fingerprints.
    pub(crate) fn leading_u64(&self) -> u64 {
        let (first, _) = self.0.split_first_chunk().expect("longer than a number");
        u64::from_be_bytes(*first)
    }

    /// Parses the hexadecimal form.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 2 * FINGERPRINT_LEN && text.is_ascii();
        let number = digits.then(|| u128::from_str_radix(text, 16));
        number?.ok().map(|n| Self(n.to_be_bytes()))
    }
}

impl TryFrom<&[u8]> for Fingerprint {
    type Error = std::array::TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self)
    }
}

/// Formats the fingerprint as lower-case hexadecimal digits.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
