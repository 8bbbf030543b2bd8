//! Commands that the leader sends to workers without waiting for their next heartbeat.

use std::time::{Duration, Instant};

use futures_lite::future::or;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::controller::Controller;
use crate::http;
use crate::leadership::step_down::StepDownReason;
use crate::operators::telemetry::increment;
use crate::workers::{DirectCommand, Heartbeat};

/// Longest wait for a wake-up before the loop checks again for commands to send.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The outcome of sending a command.
struct DirectCommandResult {
    command: DirectCommand,
    /// The heartbeat in the worker's response; `None` without a usable response, in which case the
    /// command may be lost.
    heartbeat: Option<Heartbeat>,
}

impl Controller {
    /// Sends direct commands, at most `direct_calls` concurrently, and applies the responses.
    ///
    /// Never returns, so it never ends the term.
    pub(super) async fn run_direct_commands(&self) -> StepDownReason {
        let mut in_flight = FuturesUnordered::new();
        loop {
            let free_slots = self.policy.direct_calls.saturating_sub(in_flight.len());
            if free_slots > 0 && self.may_act(Instant::now()) {
                let commands = self.lock().cluster.as_mut().map(|c| c.take_direct_commands(free_slots));
                in_flight.extend(commands.unwrap_or_default().into_iter().map(|c| self.send_direct_command(c)));
            }
            let completed = async {
                match in_flight.next().await {
                    Some(result) => Some(result),
                    None => std::future::pending().await,
                }
            };
            let woken = async {
                self.command_wake.wait(IDLE_POLL_INTERVAL).await;
                None
            };
            if let Some(result) = or(completed, woken).await {
                self.apply_direct_result(&result);
            }
        }
    }

    async fn send_direct_command(&self, command: DirectCommand) -> DirectCommandResult {
        // Checked again just before sending: the lease may have expired in a stall since the
        // decision.
        if !self.may_act(Instant::now()) {
            return DirectCommandResult { command, heartbeat: None };
        }
        let body = http::encode(&command.body);
        let timeout = self.policy.direct_limit;
        let sent = self.worker_client.send(command.address, "POST", "/commands", Some(&body), timeout);
        let heartbeat = match sent.await {
            Ok((200 | 409, body)) => http::decode::<Heartbeat>(&body).ok(),
            Ok((status, _)) => {
                tracing::info!(machine = %command.machine, status, "worker refused direct commands");
                None
            }
            Err(error) => {
                tracing::debug!(machine = %command.machine, %error, "sending direct commands to a worker failed");
                None
            }
        };
        DirectCommandResult { command, heartbeat }
    }

    fn apply_direct_result(&self, result: &DirectCommandResult) {
        if let Some(cluster) = self.lock().cluster.as_mut() {
            increment(&self.telemetry.counters.direct_calls);
            if result.heartbeat.is_none() {
                increment(&self.telemetry.counters.direct_calls_lost);
            }
            cluster.apply_direct_result(&result.command, result.heartbeat.as_ref(), Instant::now());
            if cluster.queue_changed {
                self.placement_wake.wake();
            }
        }
        self.commit_wake.wake();
    }
}
