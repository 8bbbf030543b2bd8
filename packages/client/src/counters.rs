//! Counters of the work that a client has done.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// A snapshot of a client's counters, which count from the time when the
        /// client was opened.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        /// The counters that a running client updates.
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
    /// Jobs that were submitted or resumed from the journal.
    jobs,
    /// Jobs that a controller accepted.  A job whose first state in a response is
    /// final is not counted.
    accepted,
    /// Final answers that were received and recorded.
    answers,
    /// Requests sent, including retries.
    requests,
    /// Requests that repeated a failed one.
    retries,
    /// Responses that refused a request temporarily.
    retry_later,
    /// Requests without a usable response, so that their effect is unknown.
    indeterminate,
    /// Retries that had to wait for the retry budget.
    delayed_retries,
    /// Failed journal writes of acceptances and final answers.
    journal_failures,
}

/// Increments a counter by one.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
