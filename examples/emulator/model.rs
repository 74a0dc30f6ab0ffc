//! The emulated model: a deterministic function whose answer changes when a
//! layer is left out, run twice, run out of order or fed another prompt.

/// A running FNV-1a hash (64 bits) over the prompt and the tokens so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context(u64);

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

impl Context {
    /// The context that a prompt opens.
    pub(crate) fn new(prompt: &str) -> Self {
        let mut context = Self(FNV_BASIS);
        context.push(prompt);
        context
    }

    /// Appends the text of a token.
    pub(crate) fn push(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// The hidden state that enters layer 0.
    pub(crate) fn state(self) -> u64 {
        self.0
    }
}

/// Runs the layers `first` (inclusive) to `end` (exclusive) over a hidden state.
pub(crate) fn run(state: u64, first: u32, end: u32) -> u64 {
    (first..end).fold(state, |h, layer| splitmix64(h ^ (u64::from(layer) + 1)))
}

/// The text of the token that the last layer's output stands for.
pub(crate) fn text(state: u64) -> String {
    format!("{:04x} ", state & 0xffff)
}

/// The whole answer to a prompt: `limit` tokens through `total` layers.
#[allow(dead_code)] // used by the load tool and the tests, not by the emulator
pub(crate) fn answer(prompt: &str, total: u32, limit: usize) -> Vec<String> {
    let mut context = Context::new(prompt);
    (0..limit)
        .map(|_| {
            let token = text(run(context.state(), 0, total));
            context.push(&token);
            token
        })
        .collect()
}

/// Steele, Lea and Flood's SplitMix64 step.
fn splitmix64(x: u64) -> u64 {
    let mut z = x.wrapping_add(GOLDEN_GAMMA);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
