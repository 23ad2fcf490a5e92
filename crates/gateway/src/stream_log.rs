//! What is logged of streams.

use briarhall_net::Framing;

use crate::attempt::Attempts;
use crate::attempt::elapsed_ms;
use crate::job::Job;
use crate::replica_stream::StreamItem;

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// With its last event.
    Complete,
    /// The client disconnected.
    ClientLeft,
    /// Its time ran out.
    DeadlineExceeded,
    /// No replica continued it.
    Broken,
    /// Clients that do not read their answers hold too much.
    NoMemory,
}

impl StreamEnd {
    /// Returns its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ClientLeft => "client_left",
            Self::DeadlineExceeded => "time_over",
            Self::Broken => "broken",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Logs that a replica's stream broke off after so many events.
pub fn log_break(job: &Job, replica: &str, next: &StreamItem, framing: Framing, events: u64) {
    let reason = match next {
        StreamItem::Broken(reason) => reason.as_str(),
        _ => "silent",
    };
    log::info!(
        event = "stream_broken",
        request = job.head.id.as_str(),
        replica,
        reason,
        framing = framing.as_str(),
        events,
        shared_parts = job.shared_parts().join(",").as_str(),
        after_ms = elapsed_ms(job.arrived);
        "stream broken"
    );
}

/// Logs the end of an answer that is passed on whole.
pub fn log_end(job: &Job, outcome: &str, status: u16, events: u64, attempts: &Attempts) {
    log::info!(
        event = "ended",
        request = job.head.id.as_str(),
        outcome,
        status,
        events,
        sends = attempts.may_have_run + attempts.refused,
        total_ms = elapsed_ms(job.arrived);
        "request ended"
    );
}
