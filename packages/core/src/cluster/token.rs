//! Tokens and attempts.

use super::Cluster;

/// Term in the high bits of tokens and attempts.
const TERM_SHIFT: u32 = 24;

/// The token with which a controller that does not lead answers a worker: above the
/// one that the worker has seen, and of the same term.  A start that is held up
/// under that one finds the higher.
pub fn raise_token(token: u64) -> u64 {
    let next = token + 1;
    if next >> TERM_SHIFT == token >> TERM_SHIFT {
        next
    } else {
        token
    }
}

impl Cluster {
    /// The token of this term.
    pub fn base_token(&self) -> u64 {
        self.term << TERM_SHIFT
    }

    /// An attempt number that no leader has ever given: the term is new with
    /// every leader, the counter with every attempt.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        (self.term << TERM_SHIFT) + self.next_attempt
    }

    /// The token under which a machine's worker was spoken to last, if it is of this
    /// term: a controller that was cut off with its zone may have raised it.
    pub fn fence_offset_of(&self, token: u64) -> Option<u64> {
        (token >> TERM_SHIFT == self.term).then(|| token - self.base_token())
    }
}
