//! Machine types that the cloud offers.

use serde::{Deserialize, Serialize};

use super::{Name, Resources};

/// A machine type as the cloud describes it.  Name, cores and memory are always present; other numbers
/// that the cloud omits are 0, and zones that it omits are an empty list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type, which rental requests and job submissions refer to.
    #[serde(rename = "label")]
    pub name: Name,
    /// Number of processor cores.
    pub cpus: f64,
    /// Number of accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Local storage for cached images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are pulled, in GB per second.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour, in the unit that the cloud uses for all prices.
    #[serde(rename = "hourly", default)]
    pub price_per_hour: f64,
    /// Price of a spot machine per hour, in the same unit as `price_per_hour`.
    #[serde(rename = "lowPrice", default)]
    pub spot_price_per_hour: f64,
    /// Typical time from the rental of a machine until it is up, in seconds.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Names of the zones in which the type is available.
    #[serde(rename = "bays", default)]
    pub zones: Vec<Name>,
}

impl MachineType {
    /// Returns the resources of a machine of this type on which no task runs.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }
}
