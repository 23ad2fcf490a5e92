//! Leases on shards: stewards pause and the platform loses responses. Checks that
//! the orders of two stewards are never in flight at the same time and that
//! fencing tokens grow from one holder to the next.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::lease::Lease;
use briarhall_policy::lease::LeaseAction;
use briarhall_policy::lease::LeaseElector;
use briarhall_policy::lease::ORDER_TIMEOUT;
use compact_str::format_compact;

const STEWARDS: usize = 3;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A steward reads the lease.
    Read { by: u8 },
    /// It performs its next operation at once; the response may be lost.
    Act { by: u8, response_lost: bool },
    /// It sends a write whose response arrives later.
    Send { by: u8 },
    /// The response to that write arrives.
    Receive { by: u8 },
    /// It issues an order, if it may.
    Order { by: u8 },
    /// It stops and releases the lease, if it has no order in flight.
    Release { by: u8 },
    /// Time advances, in units of 100 ms.
    Advance { steps: u8 },
}

/// A write whose response has not arrived.
#[derive(Clone)]
struct PendingWrite {
    began: Instant,
    version: Option<u64>,
    lease: Lease,
}

#[derive(Clone, Copy)]
struct Order {
    by: usize,
    at: Instant,
    fencing_token: u64,
}

struct World {
    now: Instant,
    version: u64,
    stored: Option<(u64, Lease)>,
    electors: Vec<LeaseElector>,
    pending: Vec<Option<PendingWrite>>,
    orders: Vec<Order>,
}

impl World {
    fn new() -> Self {
        let name = |n| format_compact!("steward-{n}");
        Self {
            now: Instant::now() + Duration::from_hours(1),
            version: 0,
            stored: None,
            electors: (0..STEWARDS).map(|n| LeaseElector::new(name(n))).collect(),
            pending: vec![None; STEWARDS],
            orders: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        let steward = |n: u8| usize::from(n) % STEWARDS;
        match op {
            Op::Read { by } => self.electors[steward(by)].read(self.stored.clone(), self.now),
            Op::Act { by, response_lost } => {
                self.send(steward(by));
                if response_lost {
                    self.pending[steward(by)] = None;
                }
                self.receive(steward(by));
            }
            Op::Send { by } => self.send(steward(by)),
            Op::Receive { by } => self.receive(steward(by)),
            Op::Order { by } => self.order(steward(by)),
            Op::Release { by } => {
                self.electors[steward(by)].stop();
                if let Some((version, lease)) = self.electors[steward(by)].release() {
                    // A steward releases its lease only without an order in flight.
                    let in_flight = |order: &Order| {
                        order.by == steward(by) && order.at + ORDER_TIMEOUT > self.now
                    };
                    if !self.orders.iter().any(in_flight) {
                        self.write(Some(version), lease);
                    }
                }
            }
            Op::Advance { steps } => self.now += Duration::from_millis(100) * u32::from(steps % 30),
        }
    }

    fn write(&mut self, expected: Option<u64>, lease: Lease) -> Option<u64> {
        if self.stored.as_ref().map(|(version, _)| *version) != expected {
            return None;
        }
        self.version += 1;
        self.stored = Some((self.version, lease));
        Some(self.version)
    }

    fn send(&mut self, by: usize) {
        if self.pending[by].is_some() {
            return;
        }
        if let LeaseAction::Write(expected, lease) = self.electors[by].next(self.now) {
            let version = self.write(expected, lease.clone());
            let began = self.now;
            self.pending[by] = Some(PendingWrite {
                began,
                version,
                lease,
            });
        }
    }

    fn receive(&mut self, by: usize) {
        if let Some(write) = self.pending[by].take()
            && let Some(version) = write.version
        {
            self.electors[by].written(version, write.lease, write.began, self.now);
        }
    }

    fn order(&mut self, by: usize) {
        let Some(fencing_token) = self.electors[by].may_order(self.now) else {
            return;
        };
        for order in self.orders.iter().filter(|order| order.by != by) {
            let has_ended = order.at + ORDER_TIMEOUT <= self.now;
            assert!(
                has_ended,
                "orders of stewards {} and {by} overlap",
                order.by
            );
            let previous = order.fencing_token;
            assert!(
                previous < fencing_token,
                "the fencing token went from {previous} to {fencing_token}"
            );
        }
        let at = self.now;
        self.orders.push(Order {
            by,
            at,
            fencing_token,
        });
    }
}

#[test]
fn orders_of_two_stewards_never_overlap() {
    briarhall_fuzz::histories(0..400, |ops: &[Op]| {
        let mut world = World::new();
        for op in ops {
            world.apply(*op);
        }
    });
}
