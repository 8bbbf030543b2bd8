//! Records of rentals in the state service, which keep rental requests idempotent across failovers.

use std::time::Instant;

use crate::cluster::{RecordAttempt, RecordProgress, Rental, RentalRecording};
use crate::controller::Controller;
use crate::leadership::lease::LeaderLease;
use crate::state_store::client::{key, StoreError, Txn, TxnOutcome, Write};

/// Most attempts to write one record, which is written again while the outcome of the last attempt
/// is unknown.
const MAX_RECORD_ATTEMPTS: usize = 3;

impl Controller {
    /// Records rentals before they are requested, so that the next leader learns of them if the
    /// term ends before the cloud responds.  All new rentals are recorded under one key.
    ///
    /// Reports whether all rentals are recorded.  If not, they are planned again.
    pub(super) async fn record_rentals(&self, rentals: &[Rental], lease: LeaderLease) -> bool {
        let recording = match self.lock().cluster.as_mut() {
            Some(cluster) => cluster.fleet.begin_recording(rentals, lease.term),
            None => return false,
        };
        let Some(mut recording) = recording else { return true };
        for _ in 0..MAX_RECORD_ATTEMPTS {
            let attempt = self.write_rental_record(&recording, lease).await;
            match recording.apply_attempt(&attempt) {
                RecordProgress::Repeat => {}
                RecordProgress::Stored => {
                    if let Some(cluster) = self.lock().cluster.as_mut() {
                        cluster.fleet.mark_recorded(recording.key, &recording.rentals);
                    }
                    return true;
                }
                RecordProgress::NotStored => {
                    tracing::debug!(?attempt, "rentals not recorded in the state service, they will be planned again");
                    return false;
                }
            }
        }
        false
    }

    async fn write_rental_record(&self, recording: &RentalRecording, lease: LeaderLease) -> RecordAttempt {
        match self.store.txn(&recording.txn(lease.revision)).await {
            Ok(TxnOutcome::Done(_)) => RecordAttempt::Committed,
            Ok(TxnOutcome::Conflict(keys)) => RecordAttempt::Conflict(keys),
            Err(StoreError::Indeterminate(error)) => {
                tracing::debug!(%error, "outcome of writing a rental record unknown");
                RecordAttempt::Indeterminate
            }
            Err(_) => RecordAttempt::Refused,
        }
    }

    /// Deletes the records whose rentals were answered more than `rental_kept` ago, at most half of
    /// a transaction's writes in one call.
    pub(super) async fn delete_expired_records(&self, lease: LeaderLease) {
        let limit = self.store.txn_limits.writes / 2;
        let expired = {
            let state = self.lock();
            let Some(cluster) = state.cluster.as_ref() else { return };
            cluster.fleet.expired_records(self.policy.rental_kept, limit, Instant::now())
        };
        if expired.is_empty() {
            return;
        }
        let mut txn = Txn { preconditions: vec![], writes: expired.iter().map(Write::delete).collect() };
        txn.add_precondition(key::LEADER, lease.revision);
        if let Ok(TxnOutcome::Done(_)) = self.store.txn(&txn).await {
            if let Some(cluster) = self.lock().cluster.as_mut() {
                cluster.fleet.records.retain(|key, _| !expired.contains(key));
            }
        }
    }
}
