//! Which requests are served where a service has no room for all.
//!
//! A shortage is known from requests that found no room. While it lasts, more urgent
//! requests go first, and among equally urgent ones each organisation gets a max-min
//! fair share of what the service carries: an organisation that wants less than the
//! others gets what it wants, and the rest is divided evenly. A floor keeps a large
//! organisation from being served far less often than all. Organisations above their
//! share wait for room only behind those below it, so no room stays unused.
//!
//! Each gateway records what it sends and what waits at it, and tells the others during
//! a shortage. What a gateway that is no longer heard has sent counts until it has
//! decayed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use briarhall_types::EngineSpec;
use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::engine;
use crate::peers::Incarnation;
use crate::placement::Prompt;

new_key_type! {
    /// Key of a request that waits at this gateway.
    pub struct WaitKey;
}

/// Time constant with which sends are forgotten: long enough for several answers of two
/// seconds, and less than the ten seconds in which surges change.
const WINDOW: Duration = Duration::from_secs(5);
/// Time for which a service counts as short of capacity after a request found no room:
/// several regular heartbeats.
const SHORTAGE_FOR: Duration = Duration::from_secs(1);
/// Time for which the requests that wait at another gateway count after its report: more
/// than the oldest view of 300 ms.
const WAITING_FOR: Duration = Duration::from_millis(500);
/// Age from which the shares are computed anew: two attempts to place a request.
const TABLE_FOR: Duration = Duration::from_millis(16);
/// Number of windows after which a report counts for nothing: less than 1% is left.
const REPORT_WINDOWS: u32 = 5;
/// Most entries in one report, so that it needs a tenth of a datagram.
pub const MAX_REPORTED: usize = 64;
/// Part of the mean served share below which no organisation falls. The requirement is a
/// quarter; the rest allows for stale views.
const MIN_SERVED: f64 = 0.26;
/// Part of a share by which an organisation has used more of its own than another one
/// before it waits behind it: about a request in ten.
const MIN_AHEAD: f64 = 0.1;
/// Part of its share that an organisation has used up to which one request of it waits
/// rather than being refused: few requests in a window vary by as much.
const MAX_FILLED_TO_WAIT: f64 = 1.5;
/// Halvings of the interval in which the level of the shares is sought: the error is
/// below a millionth of the largest demand.
const LEVEL_STEPS: usize = 24;
/// Furthest time to which the return of callers is spread: the rest of a surge of ten
/// seconds has passed by then, on average.
const MAX_RETURN: Duration = Duration::from_secs(5);
/// One slot in so many is left to those that go first, as they are known to wait only
/// when a report has come: by then others would have taken each slot that became free.
const SLOTS_PER_RESERVED: usize = 24;
/// Longest time in an answer to a caller.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Room for which requests compete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lane {
    /// Slots of engines, for short and medium prompts.
    Slots,
    /// Engines that are free for a long prompt.
    Engines,
}

/// The requests that share alike: those of one organisation for one service, lane and
/// priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Short form of the service.
    pub service: u32,
    /// What the requests need.
    pub lane: Lane,
    /// Priority; 0 goes first.
    pub priority: u32,
    /// Short form of the organisation.
    pub organisation: u32,
}

/// A request that found no room lately, as a gateway tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoRoom {
    /// Short form of the service.
    pub service: u32,
    /// What the request needed.
    pub lane: Lane,
    /// Its priority; the most urgent one that found no room.
    pub priority: u32,
    /// Milliseconds since then, as of the message.
    pub age_ms: u32,
}

/// Engine time of the requests of one claim at one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The claim.
    pub claim: Claim,
    /// Engine milliseconds sent, decayed as of the message.
    pub used_ms: f32,
    /// Engine milliseconds asked for, decayed as of the message.
    pub wanted_ms: f32,
    /// Engine milliseconds that wait.
    pub waiting_ms: f32,
    /// Requests that wait.
    pub waiting: u32,
    /// Those of them that are large for their kind and have waited long.
    pub large: u32,
}

/// What a gateway tells the others during a shortage.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ShortageReport {
    /// Requests of the sender that found no room.
    pub no_room: Vec<NoRoom>,
    /// Usage of the services that are short of capacity.
    pub usage: Vec<Usage>,
}

impl ShortageReport {
    /// Returns whether all numbers are finite and not negative.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let numbers = self.usage.iter();
        let mut numbers = numbers.flat_map(|u| [u.used_ms, u.wanted_ms, u.waiting_ms]);
        numbers.all(|ms| ms.is_finite() && ms >= 0.0)
            && self.usage.len() <= MAX_REPORTED
            && self.no_room.len() <= MAX_REPORTED
    }
}

/// A request about which a verdict is asked.
#[derive(Debug, Clone, Copy)]
pub struct Asking {
    /// Its claim.
    pub claim: Claim,
    /// Whether it is large for its kind.
    pub large: bool,
    /// Slots of the service's engines that are free, as far as known; 0 for a prompt that
    /// needs whole engines.
    pub free: usize,
    /// All slots of the service's engines; 0 for such a prompt.
    pub slots: usize,
    /// Engine milliseconds a millisecond of its lane's engines, where that is known;
    /// otherwise what was carried lately counts.
    pub capacity: Option<f64>,
    /// How long it can wait; `None` for a request that waits already.
    pub patience: Option<Duration>,
}

impl Asking {
    /// Returns whether `first` waiting requests that go first, and those that may come
    /// at any moment, leave no slot to this one.
    fn is_contended(&self, first: usize) -> bool {
        let taken = first + self.slots.div_ceil(SLOTS_PER_RESERVED);
        taken > 0 && self.free <= taken
    }
}

/// What happens to a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be placed.
    Admit,
    /// It waits until others have been placed.
    Behind(Reason),
    /// It is refused, and finds room after this time.
    Refuse(Reason, Duration),
}

/// Why others go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// They are more urgent.
    Rank,
    /// Their organisations are below their shares, and this one is above.
    Share,
    /// They are large for their kind and have waited long.
    Size,
}

impl Reason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rank => "rank",
            Self::Share => "share",
            Self::Size => "size",
        }
    }
}

/// Returns the engine time that a prompt costs, in milliseconds: its prefill, and while
/// its answer is generated the part of an engine whose slots or memory it holds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn cost_ms(spec: &EngineSpec, prompt: &Prompt) -> f64 {
    let tokens = prompt.tokens.saturating_add(prompt.max_output);
    let slot = 1.0 / f64::from(spec.slots.max(1));
    let memory = tokens as f64 / spec.kv_tokens.max(1) as f64;
    let decode = prompt.max_output as f64 * engine::step_ms(spec, 1, tokens);
    engine::prefill_ms(spec, prompt.tokens, 1) + decode * slot.max(memory.min(1.0))
}

#[derive(Debug, Clone, Copy)]
struct Decaying {
    ms: f64,
    at: Instant,
}

impl Decaying {
    fn value(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.ms * (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }

    fn add(&mut self, ms: f64, now: Instant) {
        self.ms = self.value(now) + ms;
        self.at = now;
    }
}

#[derive(Debug, Clone, Copy)]
struct Own {
    used: Decaying,
    wanted: Decaying,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    claim: Claim,
    cost_ms: f64,
    /// When it goes before smaller ones, if it is large for its kind.
    large_at: Option<Instant>,
}

#[derive(Debug)]
struct PeerReport {
    usage: Vec<Usage>,
    at: Instant,
}

/// Sums over all gateways for one organisation in one rank.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    used: f64,
    wanted: f64,
    waiting_ms: f64,
    waiting: usize,
    large: usize,
}

impl Sums {
    fn demand(&self) -> f64 {
        self.wanted.max(self.used)
    }
}

type Rank = (Lane, u32);

#[derive(Debug, Default)]
struct Table {
    ranks: BTreeMap<Rank, BTreeMap<u32, Sums>>,
    made_at: Option<Instant>,
}

impl Table {
    /// Returns the engine milliseconds of a window that were sent for requests of a
    /// claim's lane which are no more urgent: its rank may have all of them.
    fn carried(&self, claim: &Claim) -> f64 {
        let ranks = self.ranks.range((claim.lane, claim.priority)..);
        let ranks = ranks.take_while(|((lane, _), _)| *lane == claim.lane);
        let sums = ranks.flat_map(|(_, rank)| rank.values());
        sums.map(|sums| sums.used).sum()
    }
}

/// Usage of services by organisations over all gateways.
#[derive(Debug, Default)]
pub struct SharesInShortage {
    own: HashMap<Claim, Own>,
    waiting: SlotMap<WaitKey, Waiting>,
    peers: HashMap<Incarnation, PeerReport>,
    own_no_room: HashMap<(u32, Lane), (u32, Instant)>,
    peer_no_room: HashMap<(u32, Lane), (u32, Instant)>,
    last_return: HashMap<Claim, Instant>,
    tables: RefCell<HashMap<u32, Table>>,
}

impl SharesInShortage {
    /// Records that a request asks for engine time.
    pub fn ask(&mut self, claim: Claim, cost_ms: f64, now: Instant) {
        self.own_entry(claim, now).wanted.add(cost_ms, now);
    }

    /// Records that a request was sent.
    pub fn record(&mut self, claim: Claim, cost_ms: f64, now: Instant) {
        self.own_entry(claim, now).used.add(cost_ms, now);
    }

    fn own_entry(&mut self, claim: Claim, now: Instant) -> &mut Own {
        let nothing = Decaying { ms: 0.0, at: now };
        self.own.entry(claim).or_insert(Own {
            used: nothing,
            wanted: nothing,
        })
    }

    /// Records that a request begins to wait; one that is large for its kind goes before
    /// smaller ones from `large_at` on.
    pub fn wait(&mut self, claim: Claim, cost_ms: f64, large_at: Option<Instant>) -> WaitKey {
        self.waiting.insert(Waiting {
            claim,
            cost_ms,
            large_at,
        })
    }

    /// Records that a request no longer waits.
    pub fn leave(&mut self, key: WaitKey) {
        self.waiting.remove(key);
    }

    /// Records that a request found no room. Returns whether a shortage of the service
    /// begins with it.
    pub fn found_no_room(&mut self, claim: Claim, now: Instant) -> bool {
        let begins = !self.is_short(claim.service, now);
        let place = (claim.service, claim.lane);
        note(&mut self.own_no_room, place, claim.priority, now);
        begins
    }

    /// Applies another gateway's report.
    pub fn apply_report(&mut self, from: Incarnation, report: ShortageReport, now: Instant) {
        for sign in &report.no_room {
            let place = (sign.service, sign.lane);
            note(
                &mut self.peer_no_room,
                place,
                sign.priority,
                before(now, sign.age_ms),
            );
        }
        let usage = report.usage;
        self.peers.insert(from, PeerReport { usage, at: now });
    }

    /// Removes what no longer counts.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_new = |at: Instant| now.saturating_duration_since(at) < WINDOW * REPORT_WINDOWS;
        self.own
            .retain(|_, own| is_new(own.used.at) || is_new(own.wanted.at));
        self.peers.retain(|_, peer| is_new(peer.at));
        self.own_no_room.retain(|_, (_, at)| is_new(*at));
        self.peer_no_room.retain(|_, (_, at)| is_new(*at));
        self.last_return.retain(|_, at| is_new(*at));
        let known = |at: Option<Instant>| at.is_some_and(is_new);
        self.tables
            .get_mut()
            .retain(|_, table| known(table.made_at));
    }

    /// Returns whether a service lacks capacity, as far as this gateway knows.
    #[must_use]
    pub fn is_short(&self, service: u32, now: Instant) -> bool {
        let lanes = [Lane::Slots, Lane::Engines];
        lanes
            .iter()
            .any(|lane| self.no_room_for(service, *lane, now).is_some())
    }

    /// Returns the priority of the most urgent request that found no room lately.
    fn no_room_for(&self, service: u32, lane: Lane, now: Instant) -> Option<u32> {
        let both = [&self.own_no_room, &self.peer_no_room];
        let signs = both.iter().filter_map(|signs| signs.get(&(service, lane)));
        let signs = signs.filter(|(_, at)| is_recent(*at, now));
        signs.map(|(priority, _)| *priority).min()
    }

    /// Returns what to tell the other gateways; `None` when no service lacks capacity.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "f32 is precise enough for times in milliseconds"
    )]
    pub fn report(&self, now: Instant) -> Option<ShortageReport> {
        let mut usage = Vec::new();
        for (claim, own) in &self.own {
            if !self.is_short(claim.service, now) {
                continue;
            }
            let mut sums = Sums::default();
            self.add_own_waiting(*claim, &mut sums, now);
            usage.push(Usage {
                claim: *claim,
                used_ms: own.used.value(now) as f32,
                wanted_ms: own.wanted.value(now) as f32,
                waiting_ms: sums.waiting_ms as f32,
                waiting: u32::try_from(sums.waiting).unwrap_or(u32::MAX),
                large: u32::try_from(sums.large).unwrap_or(u32::MAX),
            });
        }
        // Of many entries, those with the largest demand stay, and those that wait.
        let order = |u: &Usage| u.wanted_ms + u.waiting_ms;
        usage.sort_by(|a, b| order(b).total_cmp(&order(a)).then(a.claim.cmp(&b.claim)));
        usage.truncate(MAX_REPORTED);
        let recent = self.own_no_room.iter();
        let recent = recent.filter(|(_, (_, at))| is_recent(*at, now));
        let no_room = recent.map(|((service, lane), (priority, at))| NoRoom {
            service: *service,
            lane: *lane,
            priority: *priority,
            age_ms: millis(now.saturating_duration_since(*at)),
        });
        let no_room = no_room.take(MAX_REPORTED).collect::<Vec<_>>();
        let is_empty = usage.is_empty() && no_room.is_empty();
        (!is_empty).then_some(ShortageReport { no_room, usage })
    }

    fn add_own_waiting(&self, claim: Claim, sums: &mut Sums, now: Instant) {
        for waiting in self.waiting.values().filter(|w| w.claim == claim) {
            sums.waiting += 1;
            sums.waiting_ms += waiting.cost_ms;
            sums.large += usize::from(waiting.large_at.is_some_and(|at| now >= at));
        }
    }

    /// Returns what happens to a request now.
    #[must_use]
    pub fn verdict(&self, asking: &Asking, now: Instant) -> Verdict {
        let claim = asking.claim;
        if !self.is_short(claim.service, now) {
            return Verdict::Admit;
        }
        let mut tables = self.tables.borrow_mut();
        let table = tables.entry(claim.service).or_default();
        let age = table.made_at.map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age >= TABLE_FOR) {
            *table = self.table(claim.service, now);
        }
        self.decide(table, asking, now)
    }

    fn decide(&self, table: &Table, asking: &Asking, now: Instant) -> Verdict {
        let claim = asking.claim;
        let empty = BTreeMap::new();
        let rank = table.ranks.get(&(claim.lane, claim.priority));
        let rank = rank.unwrap_or(&empty);
        let own = rank.get(&claim.organisation).copied().unwrap_or_default();
        let shares = Shares::new(rank, table.carried(&claim), asking.capacity);
        let share = shares.of(&own);
        let share_rate = share.max(f64::EPSILON) / WINDOW.as_secs_f64();
        let own_wait = ((own.used - share).max(0.0) + own.waiting_ms) / share_rate;
        let refuse_or = |reason, wait_ms: f64, otherwise| {
            let wait = Duration::try_from_secs_f64(wait_ms / 1_000.0).unwrap_or(MAX_WAIT);
            let wait = wait.min(MAX_WAIT);
            match asking.patience {
                Some(patience) if wait > patience => Verdict::Refuse(reason, wait),
                _ => otherwise,
            }
        };
        if let Some(wait) = self.more_urgent(table, asking, now) {
            return refuse_or(Reason::Rank, wait, Verdict::Behind(Reason::Rank));
        }
        // Engine milliseconds by engine milliseconds a second: seconds.
        let own_wait_ms = own_wait * 1_000.0;
        let filled = shares.filled(&own);
        let behind = |sums: &Sums| shares.filled(sums) + MIN_AHEAD < filled;
        let mut needier = rank.values().filter(|sums| behind(sums)).peekable();
        if needier.peek().is_some() {
            let waiting = needier.map(|sums| sums.waiting).sum::<usize>();
            if asking.is_contended(waiting) {
                if own.waiting == 0 && filled < MAX_FILLED_TO_WAIT {
                    return Verdict::Behind(Reason::Share);
                }
                return refuse_or(Reason::Share, own_wait_ms, Verdict::Behind(Reason::Share));
            }
        }
        let entitled = rank.values().filter(|sums| shares.filled(sums) < 1.0);
        let large = entitled.map(|sums| sums.large).sum::<usize>();
        if !asking.large && claim.lane == Lane::Slots && large > 0 && asking.free <= large {
            return Verdict::Behind(Reason::Size);
        }
        if claim.lane == Lane::Engines {
            return refuse_or(Reason::Share, own_wait_ms, Verdict::Admit);
        }
        Verdict::Admit
    }

    /// Returns whether a service lacks room, and an organisation has used less than its
    /// share together with what waits.
    #[must_use]
    pub fn is_below_share(&self, asking: &Asking, now: Instant) -> bool {
        let claim = asking.claim;
        let table = self.table(claim.service, now);
        let rank = table.ranks.get(&(claim.lane, claim.priority));
        rank.is_some_and(|rank| {
            let own = rank.get(&claim.organisation).copied().unwrap_or_default();
            let shares = Shares::new(rank, table.carried(&claim), asking.capacity);
            shares.level.is_finite() && own.used + own.waiting_ms < shares.of(&own)
        })
    }

    /// Returns how long more urgent requests occupy what they compete for, in
    /// milliseconds, if some of them wait and lack room.
    fn more_urgent(&self, table: &Table, asking: &Asking, now: Instant) -> Option<f64> {
        let claim = asking.claim;
        let mut waiting_ms = 0.0;
        let mut lacks_room = false;
        for ((lane, priority), rank) in &table.ranks {
            if *priority >= claim.priority {
                continue;
            }
            let waiting = rank.values().map(|sums| sums.waiting).sum::<usize>();
            lacks_room |= match lane {
                Lane::Slots => asking.is_contended(waiting),
                // Long prompts wait for free engines also where there is no shortage.
                Lane::Engines => {
                    let turned_away = self.no_room_for(claim.service, *lane, now);
                    waiting > 0 && turned_away.is_some_and(|at| at < claim.priority)
                }
            };
            waiting_ms += rank.values().map(|sums| sums.waiting_ms).sum::<f64>();
        }
        let used = table.ranks.values().flat_map(BTreeMap::values);
        let used = used.map(|sums| sums.used).sum::<f64>();
        let carried = used / (WINDOW.as_secs_f64() * 1_000.0);
        let capacity = asking.capacity.unwrap_or(0.0).max(carried);
        lacks_room.then(|| waiting_ms / capacity.max(f64::EPSILON))
    }

    fn table(&self, service: u32, now: Instant) -> Table {
        let mut ranks = BTreeMap::<Rank, BTreeMap<u32, Sums>>::new();
        let mut add = |claim: Claim, more: Sums| {
            let rank = ranks.entry((claim.lane, claim.priority)).or_default();
            let sums = rank.entry(claim.organisation).or_default();
            sums.used += more.used;
            sums.wanted += more.wanted;
            sums.waiting_ms += more.waiting_ms;
            sums.waiting += more.waiting;
            sums.large += more.large;
        };
        for (claim, own) in self.own.iter().filter(|(c, _)| c.service == service) {
            let usage = Sums {
                used: own.used.value(now),
                wanted: own.wanted.value(now),
                ..Sums::default()
            };
            add(*claim, usage);
        }
        for waiting in self.waiting.values() {
            if waiting.claim.service == service {
                let waits = Sums {
                    waiting_ms: waiting.cost_ms,
                    waiting: 1,
                    large: usize::from(waiting.large_at.is_some_and(|at| now >= at)),
                    ..Sums::default()
                };
                add(waiting.claim, waits);
            }
        }
        for peer in self.peers.values() {
            let elapsed = now.saturating_duration_since(peer.at);
            let left = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
            let waits = elapsed < WAITING_FOR;
            for usage in peer.usage.iter().filter(|u| u.claim.service == service) {
                let count = |n: u32| if waits { n as usize } else { 0 };
                let sums = Sums {
                    used: f64::from(usage.used_ms) * left,
                    wanted: f64::from(usage.wanted_ms) * left,
                    waiting_ms: if waits { usage.waiting_ms.into() } else { 0.0 },
                    waiting: count(usage.waiting),
                    large: count(usage.large),
                };
                add(usage.claim, sums);
            }
        }
        let made_at = Some(now);
        Table { ranks, made_at }
    }

    /// Returns when the caller of a refused request comes back: the first of its claim
    /// after `wait`, the others one after the other, as fast as this gateway's part of
    /// `gateways` serves them.
    pub fn next_return(
        &mut self,
        asking: &Asking,
        cost_ms: f64,
        wait: Duration,
        gateways: usize,
        now: Instant,
    ) -> Duration {
        let table = self.table(asking.claim.service, now);
        let rank = table.ranks.get(&(asking.claim.lane, asking.claim.priority));
        let share = rank.map_or(0.0, |rank| {
            let own = rank.get(&asking.claim.organisation).copied();
            let carried = table.carried(&asking.claim);
            Shares::new(rank, carried, asking.capacity).of(&own.unwrap_or_default())
        });
        let gateways = f64::from(u32::try_from(gateways).unwrap_or(u32::MAX));
        let interval = cost_ms / share.max(f64::EPSILON) * WINDOW.as_secs_f64() * gateways;
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(MAX_RETURN);
        let first = now + wait;
        let after_last = self.last_return.get(&asking.claim);
        let next = after_last.map_or(first, |last| (*last + interval.min(MAX_RETURN)).max(first));
        let spread = MAX_RETURN.max(wait);
        let next = if next > now + wait + spread {
            // Begins again at a fraction of the interval, so that the second round falls
            // between the times of the first.
            first + interval.min(MAX_RETURN).mul_f64(0.5)
        } else {
            next
        };
        self.last_return.insert(asking.claim, next);
        next.saturating_duration_since(now)
    }
}

/// The max-min fair shares of one rank.
struct Shares {
    level: f64,
    /// Part of its demand that each organisation gets at least.
    floor: f64,
}

impl Shares {
    fn new(rank: &BTreeMap<u32, Sums>, carried: f64, capacity: Option<f64>) -> Self {
        let capacity = capacity.unwrap_or(0.0) * WINDOW.as_secs_f64() * 1_000.0;
        let capacity = capacity.max(carried);
        let demand = rank.values().map(Sums::demand).sum::<f64>();
        if capacity >= demand {
            return Self {
                level: f64::INFINITY,
                floor: 1.0,
            };
        }
        let floor = MIN_SERVED * capacity / demand;
        let (mut low, mut high) = (0.0, rank.values().map(Sums::demand).fold(0.0, f64::max));
        for _ in 0..LEVEL_STEPS {
            let level = f64::midpoint(low, high);
            let shares = Self { level, floor };
            let taken = |sums: &Sums| sums.demand().min(shares.of(sums));
            if rank.values().map(taken).sum::<f64>() > capacity {
                high = level;
            } else {
                low = level;
            }
        }
        Self { level: low, floor }
    }

    /// Returns the engine milliseconds of a window that an organisation may use; one that
    /// wants less is below its share.
    fn of(&self, sums: &Sums) -> f64 {
        self.level.max(self.floor * sums.demand())
    }

    /// Returns the part of its share that an organisation has used.
    fn filled(&self, sums: &Sums) -> f64 {
        sums.used / self.of(sums).max(f64::EPSILON)
    }
}

fn note(
    signs: &mut HashMap<(u32, Lane), (u32, Instant)>,
    place: (u32, Lane),
    priority: u32,
    at: Instant,
) {
    let known = signs.entry(place).or_insert((priority, at));
    if priority <= known.0 || !is_recent(known.1, at) {
        *known = (priority, known.1.max(at));
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < SHORTAGE_FOR
}

fn before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
