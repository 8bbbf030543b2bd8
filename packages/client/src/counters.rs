//! What a client has done so far, as counters.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What a client has done so far.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }
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
    /// Jobs taken in, those resumed from the journal among them.
    jobs,
    /// Jobs that a controller accepted.
    accepted,
    /// Final answers on record.
    answers,
    /// Requests sent.
    requests,
    /// Requests that repeat one that did not go through.
    retries,
    /// Answers that said "not now".
    refused_for_now,
    /// Requests without a usable answer.
    in_doubt,
    /// Retries that waited for the budget.
    held_back,
    /// Writes to the journal that failed.
    journal_failures,
}

pub(crate) fn increment(c: &AtomicU64) {
    c.fetch_add(1, Ordering::Relaxed);
}
