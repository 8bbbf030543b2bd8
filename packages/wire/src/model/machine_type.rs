//! Machine types.

use serde::{Deserialize, Serialize};

use super::{Name, Resources};

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    #[serde(rename = "label")]
    pub name: Name,
    /// Cores.
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "memGb")]
    pub memory: f64,
    /// Space for cached images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are pulled, in GB per second.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an ordinary machine.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Price per hour of a spot machine.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Usual boot time, in seconds.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Zones in which the type is available.
    #[serde(rename = "bays", default)]
    pub zones: Vec<Name>,
}

impl MachineType {
    /// Returns the resources of an empty machine of this type.
    pub fn size(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory: self.memory }
    }
}
