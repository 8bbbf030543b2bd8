//! A machine as a pass sees it.

use crate::cluster::{Machine, QueuePriority};
use crate::model::*;

/// A machine as a pass sees it.
pub(super) struct Slot<'a> {
    pub m: &'a Machine,
    /// Its type, zone and kind, as an index.
    pub(super) pool: usize,
    /// Its zone, as an index.
    pub zone: usize,
    /// Free now, less what is held for blocked heads.
    pub(super) free: Resources,
    /// Free once the stops under way are through, less what is held.
    pub(super) soon: Resources,
    /// Stops are under way: `soon` is more than `free`.
    pub(super) stopping: bool,
    /// Free once all but services have gone: services are packed by it, or
    /// each would sit where some short task just ended, and keep a machine of
    /// its own when those are through.
    pub(super) lasting: Resources,
    /// Tasks that may yet be added.
    pub(super) room: usize,
    /// The latest turn that work here can have; none without work.
    pub(super) latest: Option<QueuePriority>,
    /// Images that starts of this pass will fetch.
    pub(super) fetches: Vec<(&'a Name, f64)>,
    /// Its tier has changed for the job that asks now: `moved` has it.
    pub(super) moved: bool,
}
