//! Leadership: the election, the leader's lease and its renewal, when a leader steps down, and
//! which features all controllers support.

pub mod election;
pub mod feature_gate;
pub mod isolation;
pub mod lease;
pub mod renewal;
pub mod step_down;
