//! How one try ended, judged against the model.

use crate::model;

/// The end of one try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Exactly the expected answer, whole.
    Exact,
    /// A typed refusal or failure.
    Refused {
        code: String,
        /// `no`, `yes` or `unknown`.
        ran: String,
        /// Milliseconds until another try makes sense.
        pause: u64,
    },
    /// The connection ended before the closing marker.
    Cut,
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// Neither an answer nor an end within the bound.
    Timeout,
    /// An answer that breaks a promise.
    Broken(Breach),
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Breach {
    /// Another request's answer.
    Crossed,
    /// All expected tokens in order, and more between or behind them.
    Doubled,
    /// Closed as whole but shorter than asked for.
    Short,
    /// Any other difference, also in form.
    Wrong,
}

/// The prompt of request `index`.
pub(crate) fn prompt(seed: u64, index: usize) -> String {
    format!(
        "measure {seed}-{index}: window {} by {}",
        index % 97,
        index % 89
    )
}

/// How many requests before and after are looked through for a crossed answer.
const NEIGHBOURS: usize = 2_000;
/// So many equal tokens are no accident (16 bits each).
const TELLING: usize = 2;

/// Compares the tokens of an answer that was closed as whole.
pub(crate) fn judge(
    tokens: &[String],
    expected: &[String],
    seed: u64,
    index: usize,
    total: u32,
) -> Outcome {
    if tokens == expected {
        return Outcome::Exact;
    }
    Outcome::Broken(breach(tokens, expected, seed, index, total))
}

fn breach(tokens: &[String], expected: &[String], seed: u64, index: usize, total: u32) -> Breach {
    if tokens.len() < expected.len() && expected.starts_with(tokens) {
        return Breach::Short;
    }
    let mut rest = tokens.iter();
    if expected.iter().all(|token| rest.any(|t| t == token)) {
        return Breach::Doubled;
    }
    let equal = tokens.iter().zip(expected).take_while(|(a, b)| a == b);
    let foreign = &tokens[equal.count()..];
    if foreign.len() < TELLING {
        return Breach::Wrong;
    }
    let around = index.saturating_sub(NEIGHBOURS)..index + NEIGHBOURS;
    let crossed = around.filter(|other| *other != index).any(|other| {
        let answer = model::generate(&prompt(seed, other), total, expected.len());
        answer.windows(TELLING).any(|w| w == &foreign[..TELLING])
    });
    if crossed {
        Breach::Crossed
    } else {
        Breach::Wrong
    }
}
