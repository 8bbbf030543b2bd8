//! Leader election: a key on a lease in the consensus-backed store, taken by compare-and-swap.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::controller::{Controller, ObservedLeader};
use crate::leadership::lease::{lease_valid_until, LeaderLease, LeaderRecord};
use crate::leadership::step_down::{StepDownBackoff, StepDownReason};
use crate::runtime::race::{race, racer};
use crate::state_store::client::{key, read_value, Precondition, StoreError, Txn, TxnOutcome, Write};

/// The value of the term key: the last term of any controller.
#[derive(Serialize, Deserialize)]
struct TermRecord {
    term: u64,
}

/// The keys of an election as a candidate has read them.
struct ElectionView {
    /// Revision of the leader key; 0 if there is none.
    leader_revision: u64,
    /// The last term.
    term: u64,
    /// Revision of the term key; 0 if there is none.
    term_revision: u64,
}

impl ElectionView {
    /// The transaction that makes `record` the leader if the keys are still as read.
    fn txn(&self, record: &LeaderRecord, lease_id: u64) -> Txn {
        Txn {
            preconditions: vec![
                Precondition { key: key::LEADER.into(), revision: self.leader_revision },
                Precondition { key: key::TERM.into(), revision: self.term_revision },
            ],
            writes: vec![
                Write::set_with_lease(key::LEADER, record, lease_id),
                Write::set(key::TERM, &TermRecord { term: record.term }),
            ],
        }
    }
}

impl Controller {
    /// Whether this controller may act as leader now.
    pub fn may_act(&self, now: Instant) -> bool {
        self.lock().is_leader(now)
    }

    /// Campaigns for leadership whenever there is no leader, and leads when elected.
    pub async fn run_elections(&self) {
        let mut backoff: Option<StepDownBackoff> = None;
        loop {
            if !self.may_campaign(backoff) {
                self.election_wake.wait(self.policy.renew).await;
                continue;
            }
            match self.acquire_lease().await {
                Ok(Some(lease)) => {
                    if self.run_term(lease).await == StepDownReason::NoWorkerContact {
                        backoff = Some(StepDownBackoff::new(Instant::now(), self.policy.ttl * 3));
                    }
                }
                Ok(None) => {}
                Err(error) => tracing::debug!(%error, "leader election failed"),
            }
            smol::Timer::after(self.policy.renew / 4).await;
        }
    }

    /// Whether the view is current, no other controller leads, and no backoff is active.
    fn may_campaign(&self, backoff: Option<StepDownBackoff>) -> bool {
        let state = self.lock();
        let backs_off = || backoff.is_some_and(|b| b.is_active(state.last_heartbeat, Instant::now()));
        state.synced
            && !backs_off()
            && match &state.leader {
                None => true,
                // an earlier incarnation of this very controller, which has ended
                Some(leader) => leader.record.name == self.config.name,
            }
    }

    /// Leads until the term ends, and gives up the lease.
    async fn run_term(&self, lease: LeaderLease) -> StepDownReason {
        self.lock().lease = Some(lease);
        let reason = race(vec![racer(self.renew_lease(lease)), racer(self.lead(lease))]).await;
        tracing::info!(term = lease.term, %reason, "leader steps down");
        self.clear_leadership(lease);
        let _ = self.store.revoke(lease.lease_id).await;
        reason
    }

    /// Drops the leader's state at the end of a term.
    fn clear_leadership(&self, lease: LeaderLease) {
        let mut state = self.lock();
        state.lease = None;
        state.cluster = None;
        state.unmet_demand.clear();
        if state.leader.as_ref().is_some_and(|l| l.revision == lease.revision) {
            state.leader = None;
        }
    }

    /// Makes this controller the leader; `None` if another one leads or was faster.
    async fn acquire_lease(&self) -> Result<Option<LeaderLease>, StoreError> {
        let Some(view) = self.read_election_view().await? else { return Ok(None) };
        let sent = Instant::now();
        let lease_id = self.store.grant(self.policy.ttl).await?;
        let record = LeaderRecord { name: self.config.name.clone(), term: view.term + 1 };
        match self.store.txn(&view.txn(&record, lease_id)).await? {
            TxnOutcome::Done(revision) => {
                let term = record.term;
                tracing::info!(term, "elected leader");
                self.lock().leader = Some(ObservedLeader { record, revision });
                let valid_until = lease_valid_until(sent, self.policy.ttl, self.policy.drift);
                Ok(Some(LeaderLease { term, revision, lease_id, valid_until }))
            }
            TxnOutcome::Conflict(_) => {
                let _ = self.store.revoke(lease_id).await;
                Ok(None)
            }
        }
    }

    /// Reads the leader and the last term; `None` if another controller leads, or the leader's
    /// record cannot be read.
    async fn read_election_view(&self) -> Result<Option<ElectionView>, StoreError> {
        let leader_revision = match self.store.get(key::LEADER).await? {
            None => 0,
            Some(item) => match read_value::<LeaderRecord>(key::LEADER, item.value) {
                Some(record) if record.name == self.config.name => item.revision,
                Some(record) => {
                    self.lock().leader = Some(ObservedLeader { record, revision: item.revision });
                    return Ok(None);
                }
                None => return Ok(None),
            },
        };
        let stored_term = self.store.get(key::TERM).await?;
        let term_revision = stored_term.as_ref().map_or(0, |item| item.revision);
        let record = stored_term.and_then(|item| read_value::<TermRecord>(key::TERM, item.value));
        let term = record.map_or(0, |record| record.term);
        Ok(Some(ElectionView { leader_revision, term, term_revision }))
    }
}

#[cfg(test)]
mod tests;
