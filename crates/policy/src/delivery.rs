//! Whether a gateway has every change of each list up to the store's last revision.
//!
//! A watch that waits looks the same whether nothing has changed or its answer was lost. That
//! the store answers other calls proves nothing of it. So the gateways learn together, at a
//! regular interval, the last position of the store. A gateway that has not been shown to
//! have a list up to there asks for the changes of that list with a call that does not wait.
//! Gateways tell each other up to which position their lists are complete: the proof of one
//! serves all that have the same list.

use std::time::Duration;
use std::time::Instant;

use briarhall_types::StorePosition;
use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::resumption::List;

/// Part of the time in which changes must be in force that passes between two calls of all
/// gateways together for the last position of the store.
const CONFIRMATION_DIVISOR: u32 = 6;
/// Gateways that are to begin such a call first, on average.
const FIRST_READERS: u32 = 4;
/// Part of that time in which a watch delivers a change itself.
const GRACE_DIVISOR: u32 = 16;
/// Part of that time over which gateways spread their calls for changes, so that most are
/// spared by the proof of another one.
const SPREAD_DIVISOR: u32 = 4;
/// Part of that time in which a call for changes must be answered at first.
const LIMIT_DIVISOR: u32 = 4;
/// Longest time in which a call for changes must be answered.
pub const MAX_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest time between two calls for changes that bring no proof.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// How far one list of a gateway is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReport {
    /// Number of the list.
    list: u8,
    /// Position up to which it is complete.
    complete_to: StorePosition,
}

/// What a gateway tells the others of the store's last position and of its lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliveryReport {
    /// Last position of the store that the gateway knows of.
    head: StorePosition,
    /// Milliseconds since the call that showed that the store had no later one.
    head_age_ms: Option<u32>,
    /// How far its lists are complete.
    lists: Vec<ListReport>,
}

/// Returns the number of a list in reports.
fn number(list: List) -> u8 {
    match list {
        List::Configuration => 0,
        List::Replicas => 1,
        List::Evacuations => 2,
    }
}

/// What a gateway knows of one list.
#[derive(Debug, Clone, Copy)]
struct Delivery {
    list: List,
    /// Position up to which it is complete, once it was read.
    complete_to: Option<StorePosition>,
    /// When to ask for the changes of the list, if it may not be complete.
    due: Option<Instant>,
    /// Time in which the next call must be answered.
    limit: Duration,
    /// Time from the next call to the one after it, if it brings no proof.
    interval: Duration,
}

/// The last position of the store that is known.
#[derive(Debug, Clone, Copy)]
struct Head {
    position: StorePosition,
    /// When it was learned.
    learned_at: Instant,
}

/// What one gateway knows of the store's last position and of its own lists.
#[derive(Debug)]
pub struct Deliveries {
    in_force_within: Duration,
    head: Option<Head>,
    /// When the last call was made that showed where the store is.
    confirmed_at: Option<Instant>,
    /// Calls of this gateway that showed where the store is.
    confirmations: u64,
    lists: Vec<Delivery>,
}

impl Deliveries {
    /// Creates the state of a gateway that follows these lists and has read none of them.
    /// Changes must be in force within this time.
    #[must_use]
    pub fn new(lists: &[List], in_force_within: Duration) -> Self {
        let limit = (in_force_within / LIMIT_DIVISOR).min(MAX_LIMIT);
        let lists = lists.iter().map(|list| Delivery {
            list: *list,
            complete_to: None,
            due: None,
            limit,
            interval: limit,
        });
        Self {
            in_force_within,
            head: None,
            confirmed_at: None,
            confirmations: 0,
            lists: lists.collect(),
        }
    }

    /// Returns whether the last position of the store is to be read with the next check:
    /// no gateway is known to have done so in time. Of many `readers`, this one included, a
    /// few begin, and the others have time to hear of it.
    #[must_use]
    pub fn confirms<R>(&self, readers: usize, now: Instant, rng: &mut R) -> bool
    where
        R: Rng,
    {
        let interval = self.in_force_within / CONFIRMATION_DIVISOR;
        let age = |at| now.saturating_duration_since(at);
        let Some(age) = self.confirmed_at.map(age) else {
            return true;
        };
        let readers = u32::try_from(readers).unwrap_or(u32::MAX);
        let mut begins = || readers <= FIRST_READERS || rng.random_ratio(FIRST_READERS, readers);
        age >= interval && (age >= interval * 3 / 2 || begins())
    }

    /// Records the position that a check made at `made_at` has returned. Unless it is
    /// confirmed, the store may have had a later one.
    pub fn record_check(
        &mut self,
        position: StorePosition,
        is_confirmed: bool,
        made_at: Instant,
        now: Instant,
    ) {
        if is_confirmed {
            self.confirmed_at = self.confirmed_at.max(Some(made_at));
            self.confirmations += 1;
            // A position that others reported and that the store does not have.
            self.head = self
                .head
                .filter(|head| head.position <= position || head.learned_at >= made_at);
        }
        self.advance(position, now);
    }

    /// Returns how often this gateway has read the last position of the store. The others are
    /// told of each time at once, so that they don't do the same.
    #[must_use]
    pub fn confirmations(&self) -> u64 {
        self.confirmations
    }

    /// Records that a list is complete up to a position, as an answer of the store shows.
    pub fn record_complete(&mut self, list: List, position: StorePosition) {
        let limit = (self.in_force_within / LIMIT_DIVISOR).min(MAX_LIMIT);
        let head = self.head.map(|head| head.position);
        let Some(delivery) = self.lists.iter_mut().find(|d| d.list == list) else {
            return;
        };
        delivery.complete_to = delivery.complete_to.max(Some(position));
        if delivery.complete_to >= head {
            delivery.due = None;
            delivery.limit = limit;
            delivery.interval = limit;
        }
    }

    /// Applies what another gateway reports. `has_all` says whether this one has all of a
    /// list that the other one has.
    pub fn apply_report<F>(&mut self, report: &DeliveryReport, has_all: F, now: Instant)
    where
        F: Fn(List) -> bool,
    {
        let age = report
            .head_age_ms
            .map(|ms| Duration::from_millis(ms.into()));
        let confirmed_at = age.and_then(|age| now.checked_sub(age));
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        self.advance(report.head, now);
        for n in 0..self.lists.len() {
            let Delivery {
                list, complete_to, ..
            } = self.lists[n];
            let reported = report.lists.iter().find(|r| r.list == number(list));
            let Some(reported) = reported.map(|r| r.complete_to) else {
                continue;
            };
            // A position of another era says nothing of what was read in this one.
            let same_era = complete_to.is_some_and(|own| own.era == reported.era);
            if same_era && Some(reported) > complete_to && has_all(list) {
                self.record_complete(list, reported);
            }
        }
    }

    /// Returns what to tell the other gateways.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<DeliveryReport> {
        let age = |at: Instant| {
            let age = now.saturating_duration_since(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let lists = self.lists.iter().filter_map(|delivery| {
            Some(ListReport {
                list: number(delivery.list),
                complete_to: delivery.complete_to?,
            })
        });
        Some(DeliveryReport {
            head: self.head?.position,
            head_age_ms: self.confirmed_at.map(age),
            lists: lists.collect(),
        })
    }

    /// Returns the lists whose changes are to be asked for now, and the time in which each
    /// call must be answered. `readers` gateways read the store, this one included.
    pub fn due<R>(&mut self, readers: usize, now: Instant, rng: &mut R) -> Vec<(List, Duration)>
    where
        R: Rng,
    {
        let Some(head) = self.head else {
            return Vec::new();
        };
        let grace = self.in_force_within / GRACE_DIVISOR;
        let spread = self.in_force_within / SPREAD_DIVISOR;
        let others = u32::try_from(readers.saturating_sub(1)).unwrap_or(u32::MAX);
        let spread = spread.mul_f64(f64::from(others) / f64::from(others.saturating_add(1)));
        let mut due = Vec::new();
        for delivery in &mut self.lists {
            let Some(complete_to) = delivery.complete_to else {
                continue;
            };
            if complete_to >= head.position {
                delivery.due = None;
                continue;
            }
            let first = || now + grace + spread.mul_f64(rng.random::<f64>());
            let at = *delivery.due.get_or_insert_with(first);
            if now >= at {
                due.push((delivery.list, delivery.limit));
                delivery.due = Some(now + delivery.interval);
                delivery.limit = (delivery.limit * 2).min(MAX_LIMIT);
                delivery.interval = (delivery.interval * 2).min(MAX_INTERVAL);
            }
        }
        due
    }

    /// Records that the store has reached a position.
    fn advance(&mut self, position: StorePosition, now: Instant) {
        if self.head.is_some_and(|head| head.position >= position) {
            return;
        }
        self.head = Some(Head {
            position,
            learned_at: now,
        });
        // Calls that brought no proof of an earlier position do not delay this one.
        let limit = (self.in_force_within / LIMIT_DIVISOR).min(MAX_LIMIT);
        for delivery in &mut self.lists {
            delivery.interval = limit;
            delivery.due = delivery.due.map(|at| at.min(now + limit));
        }
    }
}
