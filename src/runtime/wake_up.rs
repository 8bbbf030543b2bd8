//! Waiting: wake-ups and limits of time.

use std::future::Future;
use std::time::Duration;

use futures_lite::future::or;

/// A wake-up that is never lost and never queues up.
pub struct WakeUp(smol::channel::Sender<()>, smol::channel::Receiver<()>);

impl Default for WakeUp {
    fn default() -> Self {
        let (s, r) = smol::channel::bounded(1);
        WakeUp(s, r)
    }
}

impl WakeUp {
    /// Wakes whoever waits, now or next.
    pub fn wake(&self) {
        let _ = self.0.try_send(());
    }
    /// Waits for a wake-up, or until the time is over.
    pub async fn wait(&self, most: Duration) {
        or(
            async {
                let _ = self.1.recv().await;
            },
            async {
                smol::Timer::after(most).await;
            },
        )
        .await;
    }
}

/// Runs a future for at most so long.
pub async fn timed<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    or(async { Some(work.await) }, async {
        smol::Timer::after(limit).await;
        None
    })
    .await
}
