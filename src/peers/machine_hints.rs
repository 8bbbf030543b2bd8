//! What the leader has learned of machines, to and from the wire.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::cluster::MachineHints;
use crate::model::Name;
use crate::peers::links::wire;

/// What was learned of machines, for the wire: each image once.
pub(crate) fn encode_machine_hints<'a>(
    all: impl Iterator<Item = (&'a Name, MachineHints)>,
    now: Instant,
) -> (Vec<wire::Learned>, Vec<wire::Image>) {
    let (mut machines, mut images) = (Vec::new(), Vec::new());
    let mut known: HashMap<Name, u32> = HashMap::new();
    for (machine, l) in all.filter(|(_, l)| !l.images.is_empty() || l.speed_samples > 0 || l.last_heartbeat.is_some()) {
        let held = l.images.into_iter().map(|(name, gb)| {
            *known.entry(name).or_insert_with_key(|name| {
                images.push(wire::Image { name: name.to_string(), gb });
                images.len() as u32 - 1
            })
        });
        let images = held.collect();
        let heard_ms = l.last_heartbeat.map(|t| now.saturating_duration_since(t).as_millis() as u64);
        machines.push(wire::Learned {
            machine: machine.to_string(),
            speed: l.speed,
            samples: l.speed_samples,
            images,
            heard_ms,
        });
    }
    (machines, images)
}

pub(crate) fn decode_machine_hints(
    machines: Vec<wire::Learned>,
    images: &[wire::Image],
    now: Instant,
) -> HashMap<Name, MachineHints> {
    let names: Vec<(Name, f64)> = images.iter().map(|i| (i.name.as_str().into(), i.gb)).collect();
    // strange figures are no hint
    let sane = |l: &wire::Learned| l.speed.is_finite() && (0.01..=100.0).contains(&l.speed);
    machines
        .into_iter()
        .filter(sane)
        .map(|l| {
            let images = l.images.iter().filter_map(|i| names.get(*i as usize).cloned()).collect();
            let heard = l.heard_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
            (
                l.machine.as_str().into(),
                MachineHints { speed: l.speed, speed_samples: l.samples, images, last_heartbeat: heard },
            )
        })
        .collect()
}

#[cfg(test)]
mod tests;
