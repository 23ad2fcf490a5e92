//! Leases on shards: stewards that pause and a platform that loses answers,
//! against the rule that no two give orders at the same time.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::lease::Lease;
use briarhall_policy::lease::LeaseAction;
use briarhall_policy::lease::LeaseElector;
use briarhall_policy::lease::ORDER_LIMIT;
use compact_str::format_compact;

const STEWARDS: usize = 3;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A steward reads the lease.
    Look { by: u8 },
    /// It does what it thinks due; the answer may be lost.
    Act { by: u8, answer_lost: bool },
    /// It sends a write now whose answer comes later.
    Send { by: u8 },
    /// That answer comes.
    Hear { by: u8 },
    /// It gives an order, if it may.
    Order { by: u8 },
    /// It ends in order and gives the lease up.
    Release { by: u8 },
    /// Time passes, in units of 100 ms.
    Advance { steps: u8 },
}

/// A write whose answer has not come.
#[derive(Clone)]
struct Sent {
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
    sent: Vec<Option<Sent>>,
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
            sent: vec![None; STEWARDS],
            orders: Vec::new(),
        }
    }

    fn apply(&mut self, op: Op) {
        let steward = |n: u8| usize::from(n) % STEWARDS;
        match op {
            Op::Look { by } => self.electors[steward(by)].read(self.stored.clone(), self.now),
            Op::Act { by, answer_lost } => {
                self.send(steward(by));
                if answer_lost {
                    self.sent[steward(by)] = None;
                }
                self.hear(steward(by));
            }
            Op::Send { by } => self.send(steward(by)),
            Op::Hear { by } => self.hear(steward(by)),
            Op::Order { by } => self.order(steward(by)),
            Op::Release { by } => {
                self.electors[steward(by)].stop();
                if let Some((version, lease)) = self.electors[steward(by)].release() {
                    // A steward that gives up has no order under way.
                    let pending = |order: &Order| {
                        order.by == steward(by) && order.at + ORDER_LIMIT > self.now
                    };
                    if !self.orders.iter().any(pending) {
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
        if self.sent[by].is_some() {
            return;
        }
        if let LeaseAction::Write(expected, lease) = self.electors[by].next(self.now) {
            let version = self.write(expected, lease.clone());
            let began = self.now;
            self.sent[by] = Some(Sent {
                began,
                version,
                lease,
            });
        }
    }

    fn hear(&mut self, by: usize) {
        if let Some(sent) = self.sent[by].take()
            && let Some(version) = sent.version
        {
            self.electors[by].written(version, sent.lease, sent.began, self.now);
        }
    }

    fn order(&mut self, by: usize) {
        let Some(fencing_token) = self.electors[by].may_order(self.now) else {
            return;
        };
        for order in self.orders.iter().filter(|order| order.by != by) {
            let over = order.at + ORDER_LIMIT <= self.now;
            assert!(over, "stewards {} and {by} give orders at once", order.by);
            let before = order.fencing_token;
            assert!(
                before < fencing_token,
                "the fencing token went from {before} to {fencing_token}"
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
fn no_two_stewards_give_orders_at_once() {
    briarhall_fuzz::histories(0..400, |ops: &[Op]| {
        let mut world = World::new();
        for op in ops {
            world.apply(*op);
        }
    });
}
