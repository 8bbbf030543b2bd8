//! The cloud's interface: rentals, and the list of machines.

use serde::{Deserialize, Serialize};

use crate::model::Name;

/// What the cloud's list says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped on its own.
    Failed,
}

/// A rental to ask for.  Its charter is used for nothing else, ever.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Name of the request.
    #[serde(rename = "charter")]
    pub request_id: Name,
    /// Type.
    #[serde(rename = "hull")]
    pub kind: Name,
    /// Zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Spot or ordinary.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// A machine as listed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "nameId")]
    pub name: Name,
    /// Type.
    #[serde(rename = "hull")]
    pub kind: Name,
    /// Zone.
    #[serde(rename = "bay")]
    pub zone: Name,
    /// Spot or ordinary.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// State.
    #[serde(rename = "stage")]
    pub state: MachineState,
    /// Time since its rental.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}
