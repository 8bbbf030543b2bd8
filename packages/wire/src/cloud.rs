//! Message types of the cloud's API: rental requests and entries of the machine list.

use serde::{Deserialize, Serialize};

use crate::model::Name;

/// State of a machine in the machine list of the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is booting.
    Booting,
    /// The machine is up.
    Running,
    /// The machine has stopped unexpectedly.
    Failed,
}

/// A request to rent machines of one type in one zone.
///
/// The request is idempotent: when it is repeated with the same id, the cloud rents no further machines
/// and returns the same response.  The cloud may rent fewer machines than requested.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Id of the request, by which the cloud recognizes a repetition.  An id is never used again for
    /// another request.
    #[serde(rename = "charter")]
    pub request_id: Name,
    /// Name of the machine type.
    #[serde(rename = "hull")]
    pub machine_type: Name,
    /// Name of the zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Whether to rent spot machines instead of on-demand machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Number of machines requested, at least 1.
    pub count: u32,
}

/// An entry of the machine list of the cloud.  The list may lag behind the actual state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine, which its worker also reports.
    #[serde(rename = "nameId")]
    pub name: Name,
    /// Name of the machine type.
    #[serde(rename = "hull")]
    pub machine_type: Name,
    /// Name of the zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Whether the machine is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// State of the machine when the list was taken.
    #[serde(rename = "stage")]
    pub state: MachineState,
    /// Time since the machine was rented, in seconds; 0 if the cloud does not report it.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}
