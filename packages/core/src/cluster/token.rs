//! Fencing tokens and attempt numbers.  Both have the term in their high bits, so that no
//! two leaders ever give the same.

use super::Cluster;

/// Position of the term in tokens and attempts.
const TERM_SHIFT: u32 = 24;

/// The token with which a controller that does not lead answers a worker: above the one
/// that the worker has seen, and of the same term.  A start that was delayed under that
/// one meets the higher, and is refused.
pub fn raise_token(token: u64) -> u64 {
    let next = token + 1;
    if next >> TERM_SHIFT == token >> TERM_SHIFT {
        next
    } else {
        token
    }
}

impl Cluster {
    /// The lowest token of this term.
    pub fn base_token(&self) -> u64 {
        self.term << TERM_SHIFT
    }

    /// How far a token that a worker has seen is above this term's lowest; `None` if it is
    /// of another term.  A controller that was partitioned with its zone may have raised
    /// the token.
    pub fn fence_offset_of(&self, token: u64) -> Option<u64> {
        (token >> TERM_SHIFT == self.term).then(|| token - self.base_token())
    }

    /// An attempt number that no leader has ever given: the term is new with every
    /// leader, the counter with every attempt.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.base_token() + self.next_attempt
    }
}
