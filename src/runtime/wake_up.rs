//! Primitives for waiting: wake-up signals, pauses and timeouts.

use std::future::Future;
use std::time::Duration;

use futures_lite::future::or;
use smol::channel::{Receiver, Sender};

/// A wake-up signal for a waiting task.  A signal sent while no task waits is kept, and several
/// such signals wake only once.
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
    /// Wakes the waiting task, or else makes the next wait return immediately.
    pub fn wake(&self) {
        // A full channel means that a wake-up is pending already.
        let _ = self.sender.try_send(());
    }

    /// Waits for a wake-up, at most for `timeout`.
    pub async fn wait(&self, timeout: Duration) {
        let woken = async {
            let _ = self.receiver.recv().await;
        };
        let expired = async {
            smol::Timer::after(timeout).await;
        };
        or(woken, expired).await;
    }
}

/// Sleeps for a duration.  If the duration is zero, returns without yielding to other tasks.
pub async fn pause(duration: Duration) {
    if !duration.is_zero() {
        smol::Timer::after(duration).await;
    }
}

/// Runs a future for at most `timeout`; returns `None` if it has not completed by then.
pub async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    let result = async { Some(work.await) };
    let expired = async {
        smol::Timer::after(timeout).await;
        None
    };
    or(result, expired).await
}
