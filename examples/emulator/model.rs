//! Emulated model: a deterministic function whose output changes if a layer is
//! skipped, repeated or run out of order, or if the prompt differs.

/// 64-bit FNV-1a hash of the prompt and the tokens generated so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context(u64);

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

impl Context {
    /// Starts a context with the prompt.
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

    /// Hidden state that is the input of layer 0.
    pub(crate) fn state(self) -> u64 {
        self.0
    }
}

/// Applies the layers `first..end` to a hidden state.
pub(crate) fn run_layers(state: u64, first: u32, end: u32) -> u64 {
    (first..end).fold(state, |h, layer| splitmix64(h ^ (u64::from(layer) + 1)))
}

/// Text of the token for the output of the last layer.
pub(crate) fn token_text(state: u64) -> String {
    format!("{:04x} ", state & 0xffff)
}

/// Generates `limit` tokens for a prompt with all `total` layers.
#[allow(dead_code)] // only the load tool and the tests use it
pub(crate) fn generate(prompt: &str, total: u32, limit: usize) -> Vec<String> {
    let mut context = Context::new(prompt);
    (0..limit)
        .map(|_| {
            let token = token_text(run_layers(context.state(), 0, total));
            context.push(&token);
            token
        })
        .collect()
}

/// Output function of SplitMix64 (Steele, Lea and Flood).
fn splitmix64(x: u64) -> u64 {
    let mut z = x.wrapping_add(GOLDEN_GAMMA);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
