//! Processes of replicas that leave or have left.
//!
//! The registry tells who leaves, but it may be away, behind, or restored from a copy
//! of before. So what a process said in an answer, or what the registry said earlier,
//! is kept for that process until it has written since that it is ready.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::ReplicaId;
use briarhall_types::ReplicaRecord;
use briarhall_types::StorePosition;
use serde::Deserialize;
use serde::Serialize;

/// Time for which a process is remembered after the registry ceased to list it: a
/// registry that returns from an outage may list it once more.
pub const KEPT_FOR: Duration = Duration::from_mins(1);

/// A process of a replica. A replica that restarts under its id is another one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaProcess {
    /// The replica.
    pub id: ReplicaId,
    /// Start of the process in Unix milliseconds, if its entry has one.
    pub started_unix_ms: Option<u64>,
}

impl From<&ReplicaRecord> for ReplicaProcess {
    fn from(record: &ReplicaRecord) -> Self {
        Self {
            id: record.id.clone(),
            started_unix_ms: record.started_unix_ms,
        }
    }
}

/// Who heard a process say that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeardBy {
    /// This gateway, which reports it to the others.
    ThisGateway,
    /// Another gateway.
    Peer,
}

/// How the registry has a process now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// As one that takes work.
    Ready,
    /// As one that drains.
    Draining,
    /// Not at all.
    No,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The process said so in an answer.
    Answer(HeardBy),
    /// The registry said so at this position.
    Registry(StorePosition),
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    source: Source,
    /// Since when nothing has confirmed it.
    since: Option<Instant>,
}

/// The processes that leave or have left.
#[derive(Debug, Default)]
pub struct Departures {
    by_process: BTreeMap<ReplicaProcess, Departure>,
}

impl Departures {
    /// Records that a process said in an answer that it leaves. That ends with the
    /// process alone.
    pub fn record_said(&mut self, process: &ReplicaProcess, heard_by: HeardBy) {
        let own = Source::Answer(HeardBy::ThisGateway);
        let known = self.by_process.get(process);
        let heard_here = known.is_some_and(|departure| departure.source == own);
        let source = if heard_here {
            own
        } else {
            Source::Answer(heard_by)
        };
        let since = None;
        self.by_process
            .insert(process.clone(), Departure { source, since });
    }

    /// Records that the registry said at `position` that a process drains or is gone.
    pub fn record_registered(
        &mut self,
        process: &ReplicaProcess,
        position: StorePosition,
        now: Instant,
    ) {
        let known = self.by_process.get(process);
        if known.is_none_or(|departure| matches!(departure.source, Source::Registry(_))) {
            let departure = Departure {
                source: Source::Registry(position),
                since: Some(now),
            };
            self.by_process.insert(process.clone(), departure);
        }
    }

    /// Drops what the registry said of a process up to the positions for which
    /// `is_older` returns true: it has written since that it is ready.
    pub fn clear_registered<F>(&mut self, process: &ReplicaProcess, is_older: F)
    where
        F: FnOnce(StorePosition) -> bool,
    {
        if let Some(departure) = self.by_process.get(process)
            && let Source::Registry(left_at) = departure.source
            && is_older(left_at)
        {
            self.by_process.remove(process);
        }
    }

    /// Returns whether the process of this record leaves or has left.
    #[must_use]
    pub fn includes(&self, record: &ReplicaRecord) -> bool {
        !self.by_process.is_empty() && self.by_process.contains_key(&ReplicaProcess::from(record))
    }

    /// Returns the processes that this gateway itself heard say that they leave.
    pub fn heard_here(&self) -> impl Iterator<Item = &ReplicaProcess> {
        let own = Source::Answer(HeardBy::ThisGateway);
        let all = self.by_process.iter();
        let heard = all.filter(move |(_, departure)| departure.source == own);
        heard.map(|(process, _)| process)
    }

    /// Forgets processes that the registry has not listed for [`KEPT_FOR`], and those
    /// that it has listed as ready for so long after it said that they leave.
    pub fn expire<F>(&mut self, listed: F, now: Instant)
    where
        F: Fn(&ReplicaProcess) -> Listed,
    {
        self.by_process.retain(|process, departure| {
            let confirmed = match listed(process) {
                Listed::Ready => matches!(departure.source, Source::Answer(_)),
                Listed::Draining => true,
                Listed::No => false,
            };
            if confirmed {
                departure.since = Some(now);
            }
            let since = *departure.since.get_or_insert(now);
            now.saturating_duration_since(since) < KEPT_FOR
        });
    }
}
