//! What a client has done so far, as counters.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What a client has done so far.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        /// The same counters while the client runs.
        #[derive(Default)]
        pub(crate) struct AtomicCounters {
            $(pub(crate) $name: AtomicU64,)*
        }

        impl AtomicCounters {
            pub(crate) fn snapshot(&self) -> Counters {
                Counters { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }
    };
}

counters! {
    /// Jobs submitted, those resumed from the journal among them.
    jobs,
    /// Jobs that a controller accepted.
    accepted,
    /// Final answers that were recorded.
    answers,
    /// Requests sent.
    requests,
    /// Requests that repeat one that failed.
    retries,
    /// Responses that refused for now.
    refused_for_now,
    /// Requests without a usable response.
    in_doubt,
    /// Retries that waited for the retry budget.
    held_back,
    /// Writes to the journal that failed.
    journal_failures,
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
