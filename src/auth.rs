//! Authentication of messages between instances with the fleet key.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of the authentication tag that follows each frame and datagram, in bytes.
pub(crate) const TAG_LEN: usize = 16;

/// Key that all instances of a fleet share.
///
/// Its `Debug` output omits the secret, so it is safe in dumps and logs.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl FleetKey {
    /// Derives the key from a secret of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC accepts a key of any length"))
    }

    /// Computes the tag that authenticates `body`.
    #[must_use]
    pub fn tag(&self, body: &[u8]) -> [u8; TAG_LEN] {
        let full = self.0.clone().chain_update(body).finalize().into_bytes();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&full[..TAG_LEN]);
        tag
    }

    /// Returns `body` followed by its tag.
    #[must_use]
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(body.len() + TAG_LEN);
        sealed.extend_from_slice(body);
        sealed.extend_from_slice(&self.tag(body));
        sealed
    }

    /// Verifies a sealed message and returns its body, or `None` if the tag doesn't match.
    #[must_use]
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (body, tag) = sealed.split_at_checked(sealed.len().checked_sub(TAG_LEN)?)?;
        let check = self.0.clone().chain_update(body);
        check.verify_truncated_left(tag).ok().map(|()| body)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}
