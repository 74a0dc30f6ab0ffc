//! Outcome of a call, verified against the emulated model.

use crate::model;

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete expected answer.
    Exact,
    /// A refusal or failure with an error code.
    Refused {
        code: String,
        /// `no`, `yes` or `unknown`.
        ran: String,
        /// Suggested delay before a resend, in milliseconds; 0 if there is none.
        retry_ms: u64,
    },
    /// The connection ended before the end of the answer.
    Cut,
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// The call didn't end within its time limit.
    Timeout,
    /// An incorrect answer.
    Invalid(Defect),
}

/// Kind of an incorrect answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// The answer contains tokens of another request's answer.
    Crossed,
    /// All expected tokens in order, with additional ones between or after them.
    Doubled,
    /// Ended as complete, but with fewer tokens than requested.
    Short,
    /// Any other difference, including a malformed answer.
    Wrong,
}

/// Prompt of request `index`.
pub(crate) fn prompt(seed: u64, index: usize) -> String {
    format!(
        "measure {seed}-{index}: window {} by {}",
        index % 97,
        index % 89
    )
}

/// Number of requests before and after one whose answers a differing answer is compared with.
const SEARCH_RANGE: usize = 2_000;
/// Consecutive tokens that attribute an answer to another request. Tokens have 16 bits, so
/// that many are unlikely to match by chance.
const MIN_MATCH: usize = 2;

/// Verifies the tokens of an answer that ended as complete.
pub(crate) fn verify(
    tokens: &[String],
    expected: &[String],
    seed: u64,
    index: usize,
    layers: u32,
) -> Outcome {
    if tokens == expected {
        return Outcome::Exact;
    }
    Outcome::Invalid(classify(tokens, expected, seed, index, layers))
}

fn classify(
    tokens: &[String],
    expected: &[String],
    seed: u64,
    index: usize,
    layers: u32,
) -> Defect {
    if tokens.len() < expected.len() && expected.starts_with(tokens) {
        return Defect::Short;
    }
    let mut remaining = tokens.iter();
    if expected.iter().all(|token| remaining.any(|t| t == token)) {
        return Defect::Doubled;
    }
    let equal = tokens.iter().zip(expected).take_while(|(a, b)| a == b);
    let differing = &tokens[equal.count()..];
    if differing.len() < MIN_MATCH {
        return Defect::Wrong;
    }
    let candidates = index.saturating_sub(SEARCH_RANGE)..index + SEARCH_RANGE;
    let crossed = candidates.filter(|other| *other != index).any(|other| {
        let answer = model::generate(&prompt(seed, other), layers, expected.len());
        answer
            .windows(MIN_MATCH)
            .any(|w| w == &differing[..MIN_MATCH])
    });
    if crossed {
        Defect::Crossed
    } else {
        Defect::Wrong
    }
}
