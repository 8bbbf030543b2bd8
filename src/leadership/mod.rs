//! Leadership: leader election, the leader's lease and its renewal, stepping down, detection of
//! network isolation, and feature gates.

pub mod election;
pub mod feature_gate;
pub mod isolation;
pub mod lease;
pub mod renewal;
pub mod step_down;
