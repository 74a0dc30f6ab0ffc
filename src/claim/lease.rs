//! The holder's right to dispatch on its claim.

use std::time::Duration;

use crate::claim::ClaimToken;
use crate::clock::Time;

/// Time after a claim in which its holder may send the first byte, as the
/// register counts it.
pub(crate) const DISPATCH_WINDOW: Duration = Duration::from_secs(2);

/// Part of [`DISPATCH_WINDOW`] that the holder leaves unused, so that its clock may run
/// slower than the register's by this much, a tenth, and no dispatch comes
/// after the register calls the outcome unknown.
const MARGIN: Duration = Duration::from_millis(200);

/// Time that a lease should have left when a request is about to be dispatched:
/// more than a connection to an upstream takes.
const RENEW: Duration = Duration::from_secs(1);

/// The right to send the first byte of a claimed request until a time on the
/// holder's own clock.
///
/// It must be made before the claim is first sent. The register starts to count
/// only after it applied the claim, so later, and ends later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimLease {
    token: ClaimToken,
    /// End of the right to dispatch.
    end: Time,
    /// Time up to which the register surely remembers the claim.
    known: Time,
}

impl ClaimLease {
    /// The lease of a claim by `token` that is sent for the first time at `now`
    /// to a register with this `retention`.
    pub(crate) fn new(token: ClaimToken, now: Time, retention: Duration) -> Self {
        let share = DISPATCH_WINDOW.as_millis() / MARGIN.as_millis();
        let drift = retention / u32::try_from(share).unwrap_or(1);
        Self {
            token,
            end: now + (DISPATCH_WINDOW - MARGIN),
            known: now + (retention - drift),
        }
    }

    /// The sending that holds the claim.
    pub(crate) fn token(&self) -> ClaimToken {
        self.token
    }

    /// End of the right to dispatch.
    pub(crate) fn end(&self) -> Time {
        self.end
    }

    /// Whether the claim should be renewed before dispatch.
    pub(crate) fn needs_renewal(&self, now: Time) -> bool {
        now + RENEW >= self.end
    }

    /// Whether the first byte may leave at `now`.
    ///
    /// Guards against an instance that froze between claim and dispatch. A
    /// later sending was told that the outcome is unknown, and a person may
    /// have acted on it; a dispatch now would show as a second letter. It holds
    /// as the register says "unknown" only after [`DISPATCH_WINDOW`], and forgets the
    /// claim later still.
    pub(crate) fn valid(&self, now: Time) -> bool {
        now < self.end
    }

    /// Whether the claim, once granted and not released, still keeps every
    /// other sending with its key from running at `now`.
    ///
    /// Guards against a false "not run" from an instance that froze for longer
    /// than the retention: its claim is forgotten, and a later sending may have
    /// run. It holds as the register remembers a claim for longer than this.
    pub(crate) fn exclusive(&self, now: Time) -> bool {
        now < self.known
    }
}
