//! Parts of prompts that requests share.

use std::sync::Arc;

use crate::fingerprint::Fingerprint;

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Part {
    /// Id that the caller gave it, in lower case.
    pub(crate) id: Arc<str>,
    /// Equal for all organisations: a part with the same id and model is taken to have the same
    /// content.
    pub(crate) fingerprint: Fingerprint,
}

/// The parts of a prompt that other requests may share, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Model that the request names; empty without one.
    pub(crate) model: String,
    pub(crate) parts: Vec<Part>,
}

impl Prompt {
    /// Builds the parts from their ids.
    pub(crate) fn new(model: String, ids: impl IntoIterator<Item = String>) -> Self {
        let part = |id: String| Part {
            fingerprint: Fingerprint::of_part(&model, &id),
            id: id.into(),
        };
        let parts = ids.into_iter().map(part).collect();
        Self { model, parts }
    }

    /// Fingerprints under which the parts may be quarantined: for all organisations, and for one.
    pub(crate) fn fingerprints(&self, organisation: &str) -> impl Iterator<Item = Fingerprint> {
        let all = self.parts.iter().map(|p| p.fingerprint);
        all.flat_map(move |f| [f, f.within(organisation)])
    }

    /// Returns the part that a quarantine of `fingerprint` concerns, for all organisations or for
    /// one.
    pub(crate) fn part(&self, fingerprint: &Fingerprint, organisation: &str) -> Option<&Part> {
        let mut parts = self.parts.iter();
        parts.find(|p| {
            p.fingerprint == *fingerprint || p.fingerprint.within(organisation) == *fingerprint
        })
    }

    /// The ids of the parts, separated by commas.
    pub(crate) fn ids(&self) -> String {
        let ids: Vec<&str> = self.parts.iter().map(|p| &*p.id).collect();
        ids.join(",")
    }
}
