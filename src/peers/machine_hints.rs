//! Encoding and decoding of hints about machines.  A leader measures the speeds of machines and
//! observes their images and heartbeats; its peers keep these data as hints for the next leader.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::cluster::MachineHints;
use crate::model::Name;
use crate::peers::links::wire;

/// Range of plausible machine speeds.  Hints with another speed are dropped.
const VALID_SPEEDS: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// Encodes the hints about machines.  Each image is encoded once, and the machines refer to it by
/// index.  Machines without hints are left out.
pub(crate) fn encode_machine_hints<'a>(
    hints: impl Iterator<Item = (&'a Name, MachineHints)>,
    now: Instant,
) -> (Vec<wire::Learned>, Vec<wire::Image>) {
    let (mut machines, mut images) = (Vec::new(), Vec::new());
    let mut image_indices: HashMap<Name, u32> = HashMap::new();
    let has_hints = |h: &MachineHints| !h.images.is_empty() || h.speed_samples > 0 || h.last_heartbeat.is_some();
    for (machine, hints) in hints.filter(|(_, h)| has_hints(h)) {
        let indices = hints.images.into_iter().map(|(name, gb)| {
            *image_indices.entry(name).or_insert_with_key(|name| {
                images.push(wire::Image { name: name.to_string(), gb });
                images.len() as u32 - 1
            })
        });
        let indices = indices.collect();
        let heartbeat_age_ms = hints.last_heartbeat.map(|t| now.saturating_duration_since(t).as_millis() as u64);
        machines.push(wire::Learned {
            machine: machine.to_string(),
            speed: hints.speed,
            samples: hints.speed_samples,
            images: indices,
            heard_ms: heartbeat_age_ms,
        });
    }
    (machines, images)
}

/// Decodes the hints about machines.  Machines whose speed is not finite or outside
/// [`VALID_SPEEDS`] are left out.
pub(crate) fn decode_machine_hints(
    machines: Vec<wire::Learned>,
    images: &[wire::Image],
    now: Instant,
) -> HashMap<Name, MachineHints> {
    let images: Vec<(Name, f64)> = images.iter().map(|i| (i.name.as_str().into(), i.gb)).collect();
    let has_valid_speed = |m: &wire::Learned| m.speed.is_finite() && VALID_SPEEDS.contains(&m.speed);
    let decode = |m: wire::Learned| {
        let hints = MachineHints {
            speed: m.speed,
            speed_samples: m.samples,
            images: m.images.iter().filter_map(|index| images.get(*index as usize).cloned()).collect(),
            last_heartbeat: m.heard_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms))),
        };
        (m.machine.as_str().into(), hints)
    };
    machines.into_iter().filter(has_valid_speed).map(decode).collect()
}

#[cfg(test)]
mod tests;
