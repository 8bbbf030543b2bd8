//! The cloud's interface: rentals, and the list of machines.

use serde::{Deserialize, Serialize};

use crate::model::Name;

/// What the cloud's list says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
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
    pub charter: Name,
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
pub struct Listed {
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
    pub stage: Stage,
    /// Time since its rental.
    #[serde(rename = "heldS", default)]
    pub held_s: f64,
}
