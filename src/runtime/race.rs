//! Runs several futures concurrently until the first of them completes.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

/// A pinned and boxed future, so that futures of different types can be passed to [`race`].
pub type BoxedFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Pins and boxes a future for [`race`].
pub fn race_future<'a, T>(future: impl Future<Output = T> + 'a) -> BoxedFuture<'a, T> {
    Box::pin(future)
}

/// Runs all futures concurrently until one completes, returns its result and drops the others.
///
/// The futures are polled in the order of the list, so if several are ready, the first of them in
/// the list determines the result.
pub async fn race<T>(mut futures: Vec<BoxedFuture<'_, T>>) -> T {
    poll_fn(|context| {
        for future in &mut futures {
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
