//! Leader election: candidates write the leader key, attached to a lease, with a compare-and-swap
//! transaction in the consensus-backed state service.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::controller::{Controller, ObservedLeader};
use crate::leadership::lease::{lease_valid_until, LeaderLease, LeaderRecord};
use crate::leadership::step_down::{StepDownBackoff, StepDownReason};
use crate::runtime::race::{race, race_future};
use crate::state_store::client::{decode_value, key, Precondition, StoreError, Txn, TxnOutcome, Write};

/// The value of the term key: the latest term of any leader.
#[derive(Serialize, Deserialize)]
struct TermRecord {
    term: u64,
}

/// The keys of an election, as read by a candidate.
struct ElectionView {
    /// Revision of the leader key; 0 if the key does not exist.
    leader_revision: u64,
    /// The latest term; 0 if there was none.
    term: u64,
    /// Revision of the term key; 0 if the key does not exist.
    term_revision: u64,
}

impl ElectionView {
    /// Returns the transaction that writes `record` to the leader key and its term to the term
    /// key.  It succeeds only if neither key has changed since it was read.
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
    /// Reports whether this controller leads and its lease is valid at `now`, so that it may act as
    /// leader.
    pub fn may_act(&self, now: Instant) -> bool {
        self.lock().is_leader(now)
    }

    /// Campaigns for leadership whenever there is no leader, and leads when elected.  Never
    /// returns.
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
                Err(error) => tracing::debug!(%error, "leader election failed, retrying"),
            }
            smol::Timer::after(self.policy.renew / 4).await;
        }
    }

    /// Reports whether this controller may campaign: it has read the store, observes no other
    /// leader, and has no active backoff.
    fn may_campaign(&self, backoff: Option<StepDownBackoff>) -> bool {
        let state = self.lock();
        let backoff_active = || backoff.is_some_and(|b| b.is_active(state.last_heartbeat, Instant::now()));
        state.synced
            && !backoff_active()
            && match &state.leader {
                None => true,
                // The record of an earlier incarnation of this controller, whose process has ended.
                Some(leader) => leader.record.name == self.config.name,
            }
    }

    /// Leads until the term ends, then revokes the lease and returns the reason.
    async fn run_term(&self, lease: LeaderLease) -> StepDownReason {
        self.lock().lease = Some(lease);
        let reason = race(vec![race_future(self.renew_lease(lease)), race_future(self.lead(lease))]).await;
        tracing::info!(term = lease.term, %reason, "stepping down as leader");
        self.clear_leadership(lease);
        let _ = self.store.revoke(lease.lease_id).await;
        reason
    }

    /// Clears this controller's lease and its state of the cluster at the end of a term.
    fn clear_leadership(&self, lease: LeaderLease) {
        let mut state = self.lock();
        state.lease = None;
        state.cluster = None;
        state.unmet_demand.clear();
        if state.leader.as_ref().is_some_and(|l| l.revision == lease.revision) {
            state.leader = None;
        }
    }

    /// Tries to become the leader; returns the lease, or `None` if another controller leads or wins
    /// the election.
    ///
    /// # Errors
    ///
    /// Fails if the state service does not serve one of the requests.  The election may have
    /// succeeded all the same; the lease then expires unused.
    async fn acquire_lease(&self) -> Result<Option<LeaderLease>, StoreError> {
        let Some(view) = self.read_election_view().await? else { return Ok(None) };
        let sent_at = Instant::now();
        let lease_id = self.store.grant(self.policy.ttl).await?;
        let record = LeaderRecord { name: self.config.name.clone(), term: view.term + 1 };
        match self.store.txn(&view.txn(&record, lease_id)).await? {
            TxnOutcome::Done(revision) => {
                let term = record.term;
                tracing::info!(term, "elected leader");
                self.lock().leader = Some(ObservedLeader { record, revision });
                let valid_until = lease_valid_until(sent_at, self.policy.ttl, self.policy.drift);
                Ok(Some(LeaderLease { term, revision, lease_id, valid_until }))
            }
            TxnOutcome::Conflict(_) => {
                let _ = self.store.revoke(lease_id).await;
                Ok(None)
            }
        }
    }

    /// Reads the leader key and the term key; `None` if another controller leads or the leader's
    /// record cannot be decoded.
    async fn read_election_view(&self) -> Result<Option<ElectionView>, StoreError> {
        let leader_revision = match self.store.get(key::LEADER).await? {
            None => 0,
            Some(item) => match decode_value::<LeaderRecord>(key::LEADER, item.value) {
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
        let record = stored_term.and_then(|item| decode_value::<TermRecord>(key::TERM, item.value));
        let term = record.map_or(0, |record| record.term);
        Ok(Some(ElectionView { leader_revision, term, term_revision }))
    }
}

#[cfg(test)]
mod tests;
