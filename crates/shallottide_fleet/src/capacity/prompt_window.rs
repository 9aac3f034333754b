//! The typical prompt among recent ones.

/// Prompts that are kept: half a minute of one node's calls of a kind.
const PROMPTS: usize = 128;
/// Percentile that is called typical.
const TYPICAL_PERCENT: usize = 60;

/// The latest prompts' lengths in tokens. They are kept because lengths come in clusters: an estimate
/// that only moves by steps takes minutes through the gap between two.
#[derive(Debug, Clone, Default)]
pub(super) struct PromptWindow {
    /// At most [`PROMPTS`].
    tokens: Vec<u32>,
    /// Position of the oldest one once there are [`PROMPTS`].
    next: usize,
    typical: u32,
}

impl PromptWindow {
    /// Returns the typical length in tokens, 0 without prompts.
    pub(super) fn typical(&self) -> u32 {
        self.typical
    }

    /// Adds a prompt.
    pub(super) fn record(&mut self, tokens: u32) {
        if self.tokens.len() < PROMPTS {
            self.tokens.push(tokens);
        } else {
            self.tokens[self.next] = tokens;
            self.next = (self.next + 1) % PROMPTS;
        }
        let mut sorted = [0; PROMPTS];
        let sorted = &mut sorted[..self.tokens.len()];
        sorted.copy_from_slice(&self.tokens);
        // Below the length, as that is at least 1.
        let position = sorted.len() * TYPICAL_PERCENT / 100;
        self.typical = *sorted.select_nth_unstable(position).1;
    }
}
