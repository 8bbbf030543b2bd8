//! Fencing tokens and attempt numbers.  Both have the term in their high bits, so that no two
//! leaders ever issue the same one.

use super::Cluster;

/// Number of bits below the term in tokens and attempt numbers.
const TERM_SHIFT: u32 = 24;

/// Returns the token with which a controller that does not lead replies to a worker that has
/// seen `token`: the next token of the same term.  Once the worker has seen it, the worker
/// refuses a start that was sent under `token` and delayed.  The last token of a term is
/// returned unchanged.
pub fn raise_token(token: u64) -> u64 {
    let next = token + 1;
    if next >> TERM_SHIFT == token >> TERM_SHIFT {
        next
    } else {
        token
    }
}

impl Cluster {
    /// Returns the lowest token of this term.
    pub fn base_token(&self) -> u64 {
        self.term << TERM_SHIFT
    }

    /// Returns the offset of a token that a worker has seen from the lowest token of this term;
    /// `None` if the token is of another term.  A controller that was partitioned with its zone
    /// may have raised the token above those that this leader has issued.
    pub fn fence_offset_of(&self, token: u64) -> Option<u64> {
        (token >> TERM_SHIFT == self.term).then(|| token - self.base_token())
    }

    /// Returns an attempt number that no leader has issued before: the term changes with every
    /// leader, and the counter with every attempt.
    pub fn new_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.base_token() + self.last_attempt
    }
}
