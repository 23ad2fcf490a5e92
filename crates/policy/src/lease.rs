//! Leases on shards of the endpoints, kept in the object API.
//!
//! A lease is an object that its holder renews by writing it periodically.
//! Clocks of two machines are never compared: a steward that wants the lease
//! measures on its own clock for how long the object has not changed. The version
//! of the write that acquired the lease is the fencing token of every order
//! issued under it.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::Revision;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Interval at which the holder renews the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(700);
/// Time from the start of its last successful renewal for which the holder may
/// issue orders.
pub const VALID_FOR: Duration = Duration::from_secs(3);
/// A lease that has not changed for this long may be taken over.
pub const TAKE_OVER_AFTER: Duration = Duration::from_secs(5);
/// Maximum time for which an order may still be in flight after it was issued.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// A lease in its stored form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the holder.
    pub holder: CompactString,
    /// Fencing token: version of the write that acquired the lease; zero in that
    /// write itself.
    #[serde(rename = "fencing")]
    pub fencing_token: Revision,
    /// Whether the holder released the lease in an orderly shutdown.
    #[serde(default)]
    pub released: bool,
}

/// The next operation on a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write the lease, on condition that it still has this version, or does
    /// not exist if there is none.
    Write(Option<Revision>, Lease),
    /// Do nothing now.
    Wait,
}

#[derive(Debug, Clone)]
struct ObservedLease {
    version: Revision,
    lease: Lease,
    unchanged_since: Instant,
}

/// One steward's view of a shard's lease.
#[derive(Debug)]
pub struct LeaseElector {
    me: CompactString,
    observed: Option<ObservedLease>,
    has_read: bool,
    /// Fencing token while this steward holds the lease.
    fencing_token: Option<Revision>,
    /// When the last successful write of the lease began.
    renewed_at: Option<Instant>,
    /// No order is issued before this time.
    orders_blocked_until: Option<Instant>,
    stopped: bool,
}

impl LeaseElector {
    /// Creates the view of a steward that has not read the lease yet.
    #[must_use]
    pub fn new(me: CompactString) -> Self {
        Self {
            me,
            observed: None,
            has_read: false,
            fencing_token: None,
            renewed_at: None,
            orders_blocked_until: None,
            stopped: false,
        }
    }

    /// Applies the lease as read, or `None` if there is none.
    pub fn read(&mut self, lease: Option<(Revision, Lease)>, now: Instant) {
        self.has_read = true;
        let Some((version, lease)) = lease else {
            self.observed = None;
            self.fencing_token = None;
            return;
        };
        if self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version)
        {
            return;
        }
        let is_own = lease.holder == self.me && !lease.released;
        if !is_own {
            self.fencing_token = None;
        } else if self.fencing_token.is_none() {
            // This steward wrote the lease, but the response was lost.
            self.fencing_token = Some(fencing_token_of(version, &lease));
            self.orders_blocked_until = Some(now + ORDER_TIMEOUT);
        }
        self.observed = Some(ObservedLease {
            version,
            lease,
            unchanged_since: now,
        });
    }

    /// Returns the next operation.
    #[must_use]
    pub fn next(&self, now: Instant) -> LeaseAction {
        if !self.has_read || self.stopped {
            return LeaseAction::Wait;
        }
        let Some(observed) = &self.observed else {
            return LeaseAction::Write(None, self.own_lease(0));
        };
        if let Some(fencing_token) = self.fencing_token {
            let is_due = self.renewed_at.is_none_or(|at| now >= at + RENEW_INTERVAL);
            return if is_due {
                LeaseAction::Write(Some(observed.version), self.own_lease(fencing_token))
            } else {
                LeaseAction::Wait
            };
        }
        let unchanged_for = now.saturating_duration_since(observed.unchanged_since);
        if observed.lease.released || unchanged_for >= TAKE_OVER_AFTER {
            return LeaseAction::Write(Some(observed.version), self.own_lease(0));
        }
        LeaseAction::Wait
    }

    /// Records that a write that began at `began` succeeded with this version.
    pub fn written(&mut self, version: Revision, lease: Lease, began: Instant, now: Instant) {
        if lease.released {
            self.fencing_token = None;
        } else if self.fencing_token.is_none() {
            self.fencing_token = Some(fencing_token_of(version, &lease));
            let predecessor = self
                .observed
                .as_ref()
                .filter(|observed| !observed.lease.released);
            // An order of the previous holder may still be in flight, and not
            // every engine checks the fencing token.
            self.orders_blocked_until = predecessor.map(|_| now + ORDER_TIMEOUT);
        }
        self.renewed_at = Some(began);
        self.observed = Some(ObservedLease {
            version,
            lease,
            unchanged_since: now,
        });
    }

    /// Returns the fencing token if an order may be issued now.
    #[must_use]
    pub fn may_order(&self, now: Instant) -> Option<Revision> {
        let fencing_token = self.fencing_token.filter(|_| !self.stopped)?;
        let is_valid = self.renewed_at.is_some_and(|at| now < at + VALID_FOR);
        let is_blocked = self.orders_blocked_until.is_some_and(|until| now < until);
        (is_valid && !is_blocked).then_some(fencing_token)
    }

    /// Stops this steward from issuing orders and from writing the lease. After
    /// [`ORDER_TIMEOUT`] it may release a lease that it holds.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Returns the write that releases the lease, if this steward holds it. The
    /// next holder of a released lease issues orders without a delay, so no order
    /// of this steward may be in flight any more.
    #[must_use]
    pub fn release(&self) -> Option<(Revision, Lease)> {
        let fencing_token = self.fencing_token?;
        let observed = self.observed.as_ref()?;
        let mut lease = self.own_lease(fencing_token);
        lease.released = true;
        Some((observed.version, lease))
    }

    /// Returns whether this steward believes it holds the lease.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.fencing_token.is_some()
    }

    fn own_lease(&self, fencing_token: Revision) -> Lease {
        Lease {
            holder: self.me.clone(),
            fencing_token,
            released: false,
        }
    }
}

/// Returns the fencing token of a lease. It is zero in the write that acquired
/// the lease, because the version of a write is known only afterwards.
fn fencing_token_of(version: Revision, lease: &Lease) -> Revision {
    if lease.fencing_token == 0 {
        version
    } else {
        lease.fencing_token
    }
}
