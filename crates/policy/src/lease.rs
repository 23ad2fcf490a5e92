//! Leases on shards of the endpoints, kept in the object API.
//!
//! A lease is an object that its holder writes again and again. No clock is
//! compared with another: whoever wants the lease watches, on its own clock,
//! how long the object has stayed the same. The version of the write that took
//! the lease is the fencing token of every order given under it.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::Revision;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// How often a holder renews.
pub const RENEW_EVERY: Duration = Duration::from_millis(700);
/// A holder gives no order this long after its last renewal began.
pub const HOLD_FOR: Duration = Duration::from_secs(3);
/// A lease that has not changed for this long may be taken.
pub const TAKE_AFTER: Duration = Duration::from_secs(5);
/// Longest time an order given in time may still be under way.
pub const ORDER_LIMIT: Duration = Duration::from_secs(2);

/// The lease as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: CompactString,
    /// Fencing token: version of the write that took it, zero in that write.
    #[serde(rename = "fencing")]
    pub fencing_token: Revision,
    /// Set when the holder gave it up in order.
    #[serde(default)]
    pub released: bool,
}

/// What to do about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write it, on condition that it still has this version (absent if none).
    Write(Option<Revision>, Lease),
    /// Nothing now.
    Wait,
}

#[derive(Debug, Clone)]
struct Seen {
    version: Revision,
    lease: Lease,
    since: Instant,
}

/// One shard's lease, as one steward sees it.
#[derive(Debug)]
pub struct LeaseElector {
    me: CompactString,
    seen: Option<Seen>,
    listed: bool,
    /// Fencing token while this steward holds the lease.
    fencing_token: Option<Revision>,
    renewed: Option<Instant>,
    quiet_until: Option<Instant>,
    stopped: bool,
}

impl LeaseElector {
    /// Creates the view of a steward that has read nothing yet.
    #[must_use]
    pub fn new(me: CompactString) -> Self {
        Self {
            me,
            seen: None,
            listed: false,
            fencing_token: None,
            renewed: None,
            quiet_until: None,
            stopped: false,
        }
    }

    /// Takes the lease as read, or that there is none.
    pub fn read(&mut self, lease: Option<(Revision, Lease)>, now: Instant) {
        self.listed = true;
        let Some((version, lease)) = lease else {
            self.seen = None;
            self.fencing_token = None;
            return;
        };
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version)
        {
            return;
        }
        let mine = lease.holder == self.me && !lease.released;
        if !mine {
            self.fencing_token = None;
        } else if self.fencing_token.is_none() {
            // A write of ours whose answer was lost.
            self.fencing_token = Some(fencing_token_of(version, &lease));
            self.quiet_until = Some(now + ORDER_LIMIT);
        }
        self.seen = Some(Seen {
            version,
            lease,
            since: now,
        });
    }

    /// Returns what to do next.
    #[must_use]
    pub fn next(&self, now: Instant) -> LeaseAction {
        if !self.listed || self.stopped {
            return LeaseAction::Wait;
        }
        let Some(seen) = &self.seen else {
            return LeaseAction::Write(None, self.claim(0));
        };
        if let Some(fencing_token) = self.fencing_token {
            let due = self.renewed.is_none_or(|at| now >= at + RENEW_EVERY);
            return if due {
                LeaseAction::Write(Some(seen.version), self.claim(fencing_token))
            } else {
                LeaseAction::Wait
            };
        }
        let unchanged = now.saturating_duration_since(seen.since);
        if seen.lease.released || unchanged >= TAKE_AFTER {
            return LeaseAction::Write(Some(seen.version), self.claim(0));
        }
        LeaseAction::Wait
    }

    /// A write that began at `began` succeeded with this version.
    pub fn written(&mut self, version: Revision, lease: Lease, began: Instant, now: Instant) {
        if lease.released {
            self.fencing_token = None;
        } else if self.fencing_token.is_none() {
            self.fencing_token = Some(fencing_token_of(version, &lease));
            let predecessor = self.seen.as_ref().filter(|seen| !seen.lease.released);
            // An order of the last holder may still be under way, and not
            // every engine looks at the fencing token.
            self.quiet_until = predecessor.map(|_| now + ORDER_LIMIT);
        }
        self.renewed = Some(began);
        self.seen = Some(Seen {
            version,
            lease,
            since: now,
        });
    }

    /// Returns the fencing token if an order may be given now.
    #[must_use]
    pub fn may_order(&self, now: Instant) -> Option<Revision> {
        let fencing_token = self.fencing_token.filter(|_| !self.stopped)?;
        let held = self.renewed.is_some_and(|at| now < at + HOLD_FOR);
        let quiet = self.quiet_until.is_some_and(|until| now < until);
        (held && !quiet).then_some(fencing_token)
    }

    /// This steward gives no order any more and takes no lease. After
    /// [`ORDER_LIMIT`] it may release what it holds.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Returns the write that gives the lease up, if this steward holds it.
    /// Whoever takes a lease that was given up need not wait, so no order may be
    /// under way any more.
    #[must_use]
    pub fn release(&self) -> Option<(Revision, Lease)> {
        let fencing_token = self.fencing_token?;
        let seen = self.seen.as_ref()?;
        let mut lease = self.claim(fencing_token);
        lease.released = true;
        Some((seen.version, lease))
    }

    /// Returns whether this steward believes it holds the lease.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.fencing_token.is_some()
    }

    fn claim(&self, fencing_token: Revision) -> Lease {
        Lease {
            holder: self.me.clone(),
            fencing_token,
            released: false,
        }
    }
}

/// The write that took the lease could not know its own version.
fn fencing_token_of(version: Revision, lease: &Lease) -> Revision {
    if lease.fencing_token == 0 {
        version
    } else {
        lease.fencing_token
    }
}
