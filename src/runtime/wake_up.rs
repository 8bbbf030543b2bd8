//! Waiting: wake-ups, pauses and time limits.

use std::future::Future;
use std::time::Duration;

use futures_lite::future::or;
use smol::channel::{Receiver, Sender};

/// A wake-up signal that is never lost, and of which at most one is pending.
pub struct WakeUp {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for WakeUp {
    fn default() -> Self {
        let (sender, receiver) = smol::channel::bounded(1);
        WakeUp { sender, receiver }
    }
}

impl WakeUp {
    /// Wakes the task that waits, or the next one that will wait.
    pub fn wake(&self) {
        // a full channel means that a wake-up is pending already
        let _ = self.sender.try_send(());
    }

    /// Waits for a wake-up, at most for `limit`.
    pub async fn wait(&self, limit: Duration) {
        let woken = async {
            let _ = self.receiver.recv().await;
        };
        let expired = async {
            smol::Timer::after(limit).await;
        };
        or(woken, expired).await;
    }
}

/// Waits for a time.  If it is zero, returns without yielding to other tasks.
pub async fn pause(time: Duration) {
    if !time.is_zero() {
        smol::Timer::after(time).await;
    }
}

/// Runs a future for at most `limit`; `None` if it did not end by then.
pub async fn with_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let result = async { Some(work.await) };
    let expired = async {
        smol::Timer::after(limit).await;
        None
    };
    or(result, expired).await
}
