//! Who leads: the election, the leader's lease, and which features all controllers have.

pub mod election;
pub mod feature_gate;
pub mod lease;
