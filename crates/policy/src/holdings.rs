//! What clients hold of a process, and which of them goes when it runs short.
//!
//! Each client may stay within its own limits while all of them together exceed what the
//! process has. Connections, requests and bytes are therefore counted over the process, in
//! pools of fixed size. A client that wants more of a full pool takes the place of one that
//! holds much there and has sent or read nothing for a while, or else is refused.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::rendezvous;

/// Part of the requests and of their bodies that one service may have: while its replicas are
/// silent, those of other services still have places.
const SERVICE_SHARE: f64 = 0.75;
/// Time without progress after which a client that sends a request may be turned away.
const SENDING_STALL: Duration = Duration::from_millis(200);
/// The same for one that reads an answer, which would be lost.
const READING_STALL: Duration = Duration::from_secs(1);
/// Bytes that count as progress: fewer would let a client stay by a byte now and then.
const PROGRESS_BYTES: usize = 1024;

new_key_type! {
    /// Identifies a client connection.
    pub struct HolderKey;
}

/// Digest of an organisation's or a service's name.
pub type GroupTag = u64;

/// Returns the digest of a name.
#[must_use]
pub fn group_tag(name: &str) -> GroupTag {
    rendezvous::weight("group", name)
}

/// What clients hold a part of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Pool {
    /// Connections of clients, or of callers.
    Clients,
    /// Connections of other gateways.
    Peers,
    /// Connections to the directory, or of operators.
    Directory,
    /// Connections of health checks.
    HealthChecks,
    /// Connections that read metrics.
    Metrics,
    /// Requests that are not yet answered.
    Requests,
    /// Bytes of requests' bodies.
    Bodies,
    /// Bytes of answers that their clients have not read.
    Answers,
}

const POOLS: usize = 8;

impl Pool {
    fn is_shared_by_services(self) -> bool {
        matches!(self, Self::Requests | Self::Bodies)
    }
}

/// What a client does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It has sent no byte of a request since the last answer.
    Idle,
    /// It sends a request, of which nothing has run.
    Sending,
    /// It waits for the answer to a whole request.
    Waiting,
    /// It reads an answer.
    Reading,
}

impl Stage {
    /// Returns the time without progress after which the client may be turned away, if it
    /// may be at all.
    fn stall(self) -> Option<Duration> {
        match self {
            Self::Idle => Some(Duration::ZERO),
            Self::Sending => Some(SENDING_STALL),
            Self::Waiting => None,
            Self::Reading => Some(READING_STALL),
        }
    }
}

/// What comes of the wish to hold more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is held.
    Granted,
    /// It is, once this client has gone.
    Evict(HolderKey),
    /// It may be once those have gone that were told to.
    Wait,
    /// It is not: nobody has to go for it.
    Refused,
}

#[derive(Debug)]
struct Holder {
    address: IpAddr,
    organisation: Option<GroupTag>,
    service: Option<GroupTag>,
    held: [usize; POOLS],
    stage: Stage,
    progress_at: Instant,
    /// Bytes since then.
    progress: usize,
    is_evicted: bool,
}

/// Counts what clients hold.
#[derive(Debug)]
pub struct Holdings {
    capacity: [usize; POOLS],
    used: [usize; POOLS],
    holders: SlotMap<HolderKey, Holder>,
}

impl Holdings {
    /// Creates pools of these sizes; those that are not named are empty.
    #[must_use]
    pub fn new<const N: usize>(pools: [(Pool, usize); N]) -> Self {
        let mut capacity = [0; POOLS];
        for (pool, size) in pools {
            capacity[pool as usize] = size;
        }
        Self {
            capacity,
            used: [0; POOLS],
            holders: SlotMap::with_key(),
        }
    }

    /// Adds a client that holds nothing yet.
    pub fn join(&mut self, address: IpAddr, now: Instant) -> HolderKey {
        self.holders.insert(Holder {
            address,
            organisation: None,
            service: None,
            held: [0; POOLS],
            stage: Stage::Idle,
            progress_at: now,
            progress: 0,
            is_evicted: false,
        })
    }

    /// Removes a client and all that it holds.
    pub fn leave(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(key) {
            for (used, held) in self.used.iter_mut().zip(holder.held) {
                *used -= held;
            }
        }
    }

    /// Records what a client does from now on.
    pub fn set_stage(&mut self, key: HolderKey, stage: Stage, now: Instant) {
        if let Some(holder) = self.holders.get_mut(key)
            && holder.stage != stage
        {
            holder.stage = stage;
            holder.progress_at = now;
            holder.progress = 0;
        }
    }

    /// Records that a client has sent or read so many bytes.
    pub fn progress(&mut self, key: HolderKey, bytes: usize, now: Instant) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.progress += bytes;
            if holder.progress >= PROGRESS_BYTES {
                holder.progress = 0;
                holder.progress_at = now;
            }
        }
    }

    /// Records for whom and to which service a client's request is.
    pub fn set_request(
        &mut self,
        key: HolderKey,
        organisation: Option<GroupTag>,
        service: GroupTag,
    ) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.organisation = organisation;
            holder.service = Some(service);
        }
    }

    /// Returns whether a client was told to go.
    #[must_use]
    pub fn is_evicted(&self, key: HolderKey) -> bool {
        self.holders
            .get(key)
            .is_some_and(|holder| holder.is_evicted)
    }

    /// Returns how much of a pool is held.
    #[must_use]
    pub fn used(&self, pool: Pool) -> usize {
        self.used[pool as usize]
    }

    /// Returns the size of a pool.
    #[must_use]
    pub fn capacity(&self, pool: Pool) -> usize {
        self.capacity[pool as usize]
    }

    /// Lets a client hold more of a pool, if it has room or somebody has to go.
    pub fn take(&mut self, key: HolderKey, pool: Pool, amount: usize, now: Instant) -> Decision {
        let Some(shortage) = self.shortage(key, pool, amount) else {
            self.used[pool as usize] += amount;
            if let Some(holder) = self.holders.get_mut(key) {
                holder.held[pool as usize] += amount;
            }
            return Decision::Granted;
        };
        if shortage == Shortage::Never {
            return Decision::Refused;
        }
        let may_help = |holder: &Holder| {
            holder.held[pool as usize] > 0
                && match shortage {
                    Shortage::Service(service) => holder.service == Some(service),
                    Shortage::Pool | Shortage::Never => true,
                }
        };
        let others = || self.holders.iter().filter(|(other, _)| *other != key);
        if others().any(|(_, holder)| holder.is_evicted && may_help(holder)) {
            return Decision::Wait;
        }
        let crowding = Crowding::new(self.holders.values(), pool);
        let candidates = others().filter(|(_, holder)| {
            let stall = now.saturating_duration_since(holder.progress_at);
            may_help(holder) && holder.stage.stall().is_some_and(|min| stall >= min)
        });
        let weights = candidates.map(|(other, holder)| (other, crowding.weight(holder, now)));
        let heaviest = weights.max_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some((evicted, _)) = heaviest else {
            return Decision::Refused;
        };
        if let Some(holder) = self.holders.get_mut(evicted) {
            holder.is_evicted = true;
        }
        Decision::Evict(evicted)
    }

    /// Gives back what a client holds of a pool.
    pub fn give_back(&mut self, key: HolderKey, pool: Pool, amount: usize) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.held[pool as usize] -= amount;
            self.used[pool as usize] -= amount;
        }
    }

    fn shortage(&self, key: HolderKey, pool: Pool, amount: usize) -> Option<Shortage> {
        let capacity = self.capacity(pool);
        if amount > capacity {
            return Some(Shortage::Never);
        }
        if self.used(pool) + amount <= share(capacity) {
            return None;
        }
        let service = self.holders.get(key).and_then(|holder| holder.service);
        if let Some(service) = service.filter(|_| pool.is_shared_by_services()) {
            let others = self
                .holders
                .iter()
                .filter(|(other, holder)| *other != key && holder.service == Some(service));
            let held = others
                .map(|(_, holder)| holder.held[pool as usize])
                .sum::<usize>();
            let own = self.holders.get(key).map_or(0, |h| h.held[pool as usize]);
            // A single request may have all of the pool.
            if held > 0 && held + own + amount > share(capacity) {
                return Some(Shortage::Service(service));
            }
        }
        (self.used(pool) + amount > capacity).then_some(Shortage::Pool)
    }
}

/// Why there is no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    /// The pool is too small.
    Never,
    /// The pool is full.
    Pool,
    /// The service has its share.
    Service(GroupTag),
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "sizes of pools are far below 2^52 and not negative"
)]
fn share(capacity: usize) -> usize {
    ((capacity as f64) * SERVICE_SHARE).ceil() as usize
}

/// How much of a pool each address and organisation holds.
struct Crowding {
    pool: Pool,
    by_address: HashMap<IpAddr, usize>,
    by_organisation: HashMap<GroupTag, usize>,
}

impl Crowding {
    fn new<'a, I>(holders: I, pool: Pool) -> Self
    where
        I: Iterator<Item = &'a Holder>,
    {
        let mut crowding = Self {
            pool,
            by_address: HashMap::new(),
            by_organisation: HashMap::new(),
        };
        for holder in holders {
            let held = holder.held[pool as usize];
            *crowding.by_address.entry(holder.address).or_default() += held;
            if let Some(organisation) = holder.organisation {
                *crowding.by_organisation.entry(organisation).or_default() += held;
            }
        }
        crowding
    }

    /// Returns how much there is to gain by turning a client away: what it holds, for how
    /// long it has made no progress, and what its address or organisation holds.
    #[expect(clippy::cast_precision_loss, reason = "what is held is far below 2^52")]
    fn weight(&self, holder: &Holder, now: Instant) -> f64 {
        let held = holder.held[self.pool as usize] as f64;
        let address = self.by_address.get(&holder.address);
        let organisation = holder.organisation.as_ref();
        let organisation = organisation.and_then(|o| self.by_organisation.get(o));
        let group = address.max(organisation).copied().unwrap_or(0) as f64;
        let stall = now.saturating_duration_since(holder.progress_at);
        held * group * (stall + SENDING_STALL).as_secs_f64()
    }
}
