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
    /// Memory.
    #[serde(rename = "memGb")]
    pub memory: f64,
    /// Room for images.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// How fast images arrive.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour, ordinary.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Price an hour, spot.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Usual time to boot.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "bays", default)]
    pub zones: Vec<Name>,
}

impl MachineType {
    /// What an empty machine of this type offers.
    pub fn size(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory: self.memory }
    }
}
