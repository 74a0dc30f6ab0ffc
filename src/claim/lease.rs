//! The lease under which the holder of a claim may dispatch the request.

use std::time::Duration;

use crate::claim::ClaimToken;
use crate::clock::Time;

/// Time after a claim in which its holder may send the first byte, on the
/// register's clock.
pub(crate) const DISPATCH_WINDOW: Duration = Duration::from_secs(2);

/// Part of [`DISPATCH_WINDOW`] that the holder doesn't use. Even if its clock runs
/// a tenth slower than the register's, it can't dispatch after the register has
/// reported the outcome as unknown.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// Remaining time below which a lease is renewed before dispatch; longer than
/// connecting to an upstream takes.
const RENEWAL_MARGIN: Duration = Duration::from_secs(1);

/// The right to send the first byte of a claimed request until a time on the
/// holder's own clock.
///
/// It must be created before the claim is first sent. The register starts its own
/// count only when it has applied the claim, so its window ends later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimLease {
    token: ClaimToken,
    /// End of the right to dispatch.
    end: Time,
    /// Time until which the register is certain to retain the claim.
    retained_until: Time,
}

impl ClaimLease {
    /// Creates the lease for a claim by `token` that is first sent at `now` to a
    /// register with this `retention`.
    pub(crate) fn new(token: ClaimToken, now: Time, retention: Duration) -> Self {
        let ratio = DISPATCH_WINDOW.as_millis() / CLOCK_MARGIN.as_millis();
        let drift = retention / u32::try_from(ratio).unwrap_or(1);
        Self {
            token,
            end: now + (DISPATCH_WINDOW - CLOCK_MARGIN),
            retained_until: now + (retention - drift),
        }
    }

    /// The submission that holds the claim.
    pub(crate) fn token(&self) -> ClaimToken {
        self.token
    }

    /// End of the right to dispatch.
    pub(crate) fn end(&self) -> Time {
        self.end
    }

    /// Whether the claim should be renewed before dispatch.
    pub(crate) fn needs_renewal(&self, now: Time) -> bool {
        now + RENEWAL_MARGIN >= self.end
    }

    /// Whether the first byte may be sent at `now`.
    ///
    /// Guards against an instance that froze between claim and dispatch. By the
    /// time it wakes, a later submission may have been told that the outcome is
    /// unknown, and a user may have acted on it, so a dispatch could repeat the
    /// request's effect.
    ///
    /// The lease ends first: the register reports "unknown" only after
    /// [`DISPATCH_WINDOW`], and discards the claim later still.
    pub(crate) fn permits_dispatch(&self, now: Time) -> bool {
        now < self.end
    }

    /// Whether the claim, once granted and not released, still prevents every
    /// other submission with its key from running at `now`.
    ///
    /// Guards against a false "not run". If the instance froze for longer than
    /// the retention, its claim has been discarded, and a later submission may
    /// have run. The result turns false before the register may discard the claim.
    pub(crate) fn is_exclusive(&self, now: Time) -> bool {
        now < self.retained_until
    }
}
