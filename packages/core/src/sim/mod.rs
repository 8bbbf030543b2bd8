//! Deterministic simulation of a cluster.
//!
//! Models of the state service, the cloud, the workers and the users run against the
//! production decision code of three controllers.  The simulation injects crashes, lost
//! leases, late messages and outages, and a checker asserts the invariants during the run.
//!
//! Time is simulated in fixed steps: nothing sleeps or opens a socket.  A seed determines
//! a whole run through the sequence of random draws, so a change to the order or the number
//! of draws changes every run.

mod cloud;
mod controllers;
mod defect;
mod delivery;
mod direct_commands;
mod driver;
mod election;
mod faults;
mod fixtures;
mod forwarding;
mod invariants;
mod message;
mod network;
mod request_history;
mod snapshots;
mod starvation;
mod state_store;
mod tasks;
mod tests;
mod users;
mod workers;
mod world;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cluster::ListedMachine;
use crate::cluster::{Cluster, MachineState, TeamLimit};
use crate::commit::TxnLimits;
use crate::commit::{read_shard, started_jobs, CommitBatch, StoredShard};
use crate::config::Config;
use crate::heartbeat_forwarding::{ForwardedHeartbeat, HeartbeatForwarding};
use crate::key;
use crate::model::*;
use crate::policy::Policy;
use crate::user_request::{cancellations_txn, submissions_txn, Submission};
use crate::workers::*;
use controllers::{CommitInFlight, Controller};
use coralnotch_wire::state::{decode_value, KeyValue, Txn, Write};
use defect::InjectedDefect;
use election::Candidate;
use faults::FaultSchedule;
use forwarding::ForwardedRequest;
use message::{Message, NO_RECEIVER};
use network::DeliveryKey;
use snapshots::OutcomeSnapshot;
use state_store::{LeaderKey, StateStore, StoredOutcome};
use users::SubmittedJob;
use workers::{zone_of, TaskProgress, Worker, WorkerTask};
use world::{CapacitySample, World};

pub use coralnotch_policy::example::SETTINGS;
pub use coralnotch_wire::example::job_array;
pub use fixtures::{heartbeat, machine_type, new_cluster};
pub use state_store::RentalStore;

/// Simulated time in milliseconds since the start of a run, or a duration in milliseconds.
type Ms = u64;
/// Simulated time of one step, in milliseconds.
const STEP: Ms = 100;
