//! Deterministic simulation of a cluster: models of the state service, the cloud,
//! workers and users drive the controllers' decision code through crashes, lost
//! leases, late messages and outages, while a checker asserts the invariants.
//!
//! Time is simulated, in steps; nothing sleeps or opens a socket.  A seed determines
//! a whole run, by the order of the calls of its random generator.

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
use coralnotch_wire::state::{read_value, KeyValue, Txn, Write};
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
pub use coralnotch_wire::example::spec;
pub use fixtures::{cluster, machine_type, report};
pub use state_store::Records;

/// Milliseconds of simulated time.
type Ms = u64;
/// Simulated time between two steps.
const STEP: Ms = 100;
