//! Which machines are returned to the cloud.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{FleetPlan, Guarantees};
use crate::cluster::{Cluster, Machine, MachineState};
use crate::model::*;

/// Most names in one deletion.
const MOST_DELETES: usize = 100;

impl Cluster {
    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn plan_scale_in(&mut self, g: &Guarantees, plan: &mut FleetPlan, now: Instant) {
        let policy = self.policy.clone();
        let mut spare = Resources::default();
        for m in self
            .machines
            .values()
            .filter(|m| m.removed_at.is_none() && m.deletion_sent_at.is_none() && m.cordon_reason.is_none())
        {
            spare.add(&m.size);
        }
        spare.subtract(&self.kept(g));
        // nothing is returned that would have to be rented again at once
        let mut free = self.free_room(now);
        free.subtract(&self.headroom_size(g));
        let bare = |size: &Resources| Resources { memory: 0.0, ..*size };
        let silences: Vec<Duration> = self.machines.values().map(|m| self.time_since_heartbeat(m, now)).collect();
        let up = |m: &&Machine| {
            m.removed_at.is_none()
                && (m.last_heartbeat.is_some() || m.state == Some(MachineState::Running) || !m.tasks.is_empty())
        };
        // many of a zone, or of all, at once: that is the network, and they may
        // well be working
        let mut counts: HashMap<Option<Name>, (usize, usize)> = HashMap::new();
        for (m, silence) in self.machines.values().zip(&silences).filter(|(m, _)| up(m)) {
            let silent = usize::from(*silence > policy.fresh);
            for whole in [None, Some(m.zone.clone())] {
                let c = counts.entry(whole).or_default();
                (c.0, c.1) = (c.0 + silent, c.1 + 1);
            }
        }
        let mass = |silent: usize, of: usize| silent > 2 && silent as f64 > of as f64 * policy.silent_share;
        // as a cut heals, most come back one by one within a report interval:
        // the last third of them is as much alive as the first
        let seemed = &mut self.fleet.last_seen_partitioned;
        seemed.extend(counts.into_iter().filter(|(_, c)| mass(c.0, c.1)).map(|(z, _)| (z, now)));
        seemed.retain(|_, t| now.saturating_duration_since(*t) < policy.missed);
        let everywhere = seemed.contains_key(&None);
        self.fleet.partitioned_zones = seemed.keys().flatten().cloned().collect();
        let cut = self.fleet.partitioned_zones.clone();
        let listed = self.fleet.last_full_list;
        let needed = self.needed_idle(now);
        let mut moves: Vec<(Name, Task)> = Vec::new();
        for (m, silence) in self.machines.values_mut().zip(silences).filter(|(m, _)| m.removed_at.is_none()) {
            // it was listed for long, and the newest list lacks it: a list that
            // is older than others would still have it, so it is gone.  No
            // proof, but reason enough to ask for one, a deletion
            let old = now.duration_since(m.rented_at.min(m.first_seen)) > policy.list_lag * 4;
            let unlisted = m
                .last_listed
                .zip(listed)
                .is_some_and(|(m, l)| l > m && (old || l.duration_since(m) > policy.list_lag * 2))
                || m.last_listed.is_none()
                    && now.duration_since(m.first_seen) > policy.list_lag * 4
                    && listed.is_some();
            let boot_s = self.types.get(&m.kind).map_or(60.0, |t| t.boot_s);
            let boot_limit = Duration::from_secs_f64(boot_s * policy.boot_factor);
            // an empty machine is worth the image that the next task need not
            // wait for
            let rate = self.types.get(&m.kind).map_or(0.0, |t| t.fetch_gb_per_s);
            let image = m.images.iter().map(|i| i.1).sum::<f64>() / m.images.len().max(1) as f64;
            let held = image / rate.max(1e-3) * policy.idle_images;
            let idle = policy.idle.max(Duration::from_secs_f64(held.min(policy.idle_most)));
            let reason = if m.deletion_sent_at.is_some() {
                // a deletion may be carried out at any time now
                Some("is being returned")
            } else if m.state == Some(MachineState::Failed) {
                Some("has failed")
            } else if m.reclaim_at.is_some_and(|t| t <= now) && silence > policy.fresh / 2 {
                Some("was taken back")
            } else if unlisted && silence > policy.missed {
                Some("is silent and not listed")
            } else if m.last_heartbeat.is_none() && m.state != Some(MachineState::Running) && m.tasks.is_empty() {
                (now.duration_since(m.rented_at) > boot_limit && silence > policy.fresh).then_some("does not come up")
            } else if silence > policy.silent && !everywhere && !cut.contains(&m.zone) {
                Some("is silent")
            } else if silence > policy.lease_over
                && !everywhere
                && cut.contains(&m.zone)
                && !self.zones_with_controller.contains(&m.zone)
                && m.tasks.values().any(|p| p.occupies_resources() && p.spec.shape == Shape::Service)
            {
                // nobody inside renews its lease: its replicas are lost by now,
                // and only a deletion proves it
                Some("is cut off, and its lease has run out")
            } else if m.cordon_reason.is_some() && m.tasks.is_empty() {
                m.cordon_reason
            } else if m.idle_since.is_some_and(|t| now.duration_since(t) > idle)
                && m.tasks.is_empty()
                && m.last_heartbeat.is_some()
                && now.duration_since(m.rented_at) > idle
                && spare.fits(&bare(&m.size))
                && !needed.contains(&m.name)
                && bare(&free).fits(&bare(&m.size))
            {
                spare.subtract(&m.size);
                free.subtract(&m.size);
                Some("is idle")
            } else if m.tasks.values().any(|p| {
                // stops of a cancelled job are pursued to the end
                let over = self.jobs.get(&p.spec.id).is_none_or(|j| j.outcome == Some(JobOutcome::Cancelled));
                // at once where no stop arrives
                let late = if silence > policy.missed { Duration::ZERO } else { policy.cancel.mul_f64(0.45) };
                over && p.occupies_resources() && p.stop_requested_at.is_some_and(|t| now.duration_since(t) > late)
            }) {
                Some("keeps tasks of a cancelled job")
            } else {
                None
            };
            if let Some(why) = reason {
                if m.deletion_sent_at.is_none() {
                    tracing::info!("machine {} {why}: returned, with {} tasks", m.name, m.tasks.len());
                }
                if plan.delete.len() < MOST_DELETES {
                    m.deletion_sent_at.get_or_insert(now);
                    plan.delete.push(m.name.clone());
                }
            } else if m.cordon_reason.is_some() || m.reclaim_at.is_some() {
                let stay = |p: &crate::cluster::Assignment| {
                    // without checkpoints a stop only loses: it may finish yet
                    m.cordon_reason.is_none() && p.spec.checkpoint_s == 0.0 && p.spec.shape == Shape::Array
                };
                moves.extend(
                    m.tasks
                        .iter()
                        .filter(|(_, p)| p.occupies_resources() && p.stop_grace_s.is_none() && !stay(p))
                        .map(|(t, _)| (m.name.clone(), t.clone())),
                );
            }
        }
        for (m, t) in moves {
            self.stop_to_move(&m, &t, now);
        }
    }
}
