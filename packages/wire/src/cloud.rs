//! Types of the cloud's interface: rental requests and the list of machines.

use serde::{Deserialize, Serialize};

use crate::model::Name;

/// State of a machine in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It is booting.
    Booting,
    /// It is up.
    Running,
    /// It has stopped unexpectedly.
    Failed,
}

/// A request to rent machines.  Its id makes it idempotent and is never used for another request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Id of the request.
    #[serde(rename = "charter")]
    pub request_id: Name,
    /// Machine type.
    #[serde(rename = "hull")]
    pub kind: Name,
    /// Zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Whether to rent spot machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// A machine in the list of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "nameId")]
    pub name: Name,
    /// Machine type.
    #[serde(rename = "hull")]
    pub kind: Name,
    /// Zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Whether it is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// State.
    #[serde(rename = "stage")]
    pub state: MachineState,
    /// Time since it was rented, in seconds.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}
