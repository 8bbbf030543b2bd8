//! Running futures together until the first of them ends.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

/// A future that takes part in a race.
pub type Racer<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Boxes a future for [`race`].
pub fn racer<'a, T>(future: impl Future<Output = T> + 'a) -> Racer<'a, T> {
    Box::pin(future)
}

/// Runs all futures until the first one ends, returns its result and drops the others.
///
/// They are polled in the order of the list: if several are ready, the first one wins.
pub async fn race<T>(mut racers: Vec<Racer<'_, T>>) -> T {
    poll_fn(|context| {
        for future in &mut racers {
            if let Poll::Ready(result) = future.as_mut().poll(context) {
                return Poll::Ready(result);
            }
        }
        Poll::Pending
    })
    .await
}

#[cfg(test)]
mod tests;
