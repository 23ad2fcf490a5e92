//! Claims: routers that write one chain through a store that loses answers,
//! applies writes late and forgets old segments, against an oracle that counts
//! runs of each key.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::claims::Chain;
use briarhall_policy::claims::Claim;
use briarhall_policy::claims::ClaimId;
use briarhall_policy::claims::ClaimStatus;
use briarhall_policy::claims::DecidedClaim;
use briarhall_policy::claims::Segment;
use briarhall_policy::claims::SegmentNumber;
use briarhall_policy::claims::Step;
use briarhall_policy::claims::window_start;
use briarhall_types::Digest;
use compact_str::CompactString;
use compact_str::format_compact;

const ROUTERS: usize = 3;
const KEYS: u8 = 4;
const WINDOW: Duration = Duration::from_mins(10);
/// Time limit of a request: its holder sends nothing later than this.
const TIME_LIMIT: Duration = Duration::from_mins(1);
/// Claims are kept this much longer than a contract's window.
const MARGIN: Duration = Duration::from_mins(1);
/// A listing misses what was written this lately, at the most.
const STALENESS: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    LostAfterEffect,
    LostBeforeEffect,
    AppliedLate,
    Unavailable,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller sends a key to a router.
    Claim { router: u8, key: u8 },
    /// A router looks what to do; a write goes out.
    Step { router: u8 },
    /// What went out arrives and is answered, or not.
    Deliver { router: u8, luck: u8 },
    /// A write of unknown fate takes effect after all.
    ApplyLate,
    /// What is due at a router goes out and comes back.
    Turn { router: u8, luck: u8 },
    /// Now and then a router gives up claims that wait, and promises never to
    /// send them.
    GiveUp { router: u8, chance: u8 },
    /// Time passes, in units of 20 ms.
    Advance { steps: u8 },
    /// Now and then a lot of time passes, in minutes.
    AdvanceMinutes { minutes: u8 },
    /// A router deletes what is old.
    Trim { router: u8 },
}

/// Most writes go well.
fn fate(luck: u8) -> Fate {
    match luck % 12 {
        0 => Fate::LostAfterEffect,
        1 => Fate::LostBeforeEffect,
        2 => Fate::AppliedLate,
        3 => Fate::Unavailable,
        _ => Fate::Answered,
    }
}

#[derive(Debug, Default)]
struct Router {
    chain: Chain,
    sent: Option<Step>,
}

#[derive(Debug)]
struct Run {
    claim: ClaimId,
    at: Duration,
}

struct World {
    start: Instant,
    now: Duration,
    store: BTreeMap<SegmentNumber, (Duration, Segment)>,
    /// Segments that were deleted, with when they were written and deleted.
    deleted: Vec<(SegmentNumber, Duration, Duration, Segment)>,
    late: Vec<(SegmentNumber, Segment)>,
    routers: Vec<Router>,
    claims: HashMap<ClaimId, (Duration, Claim)>,
    abandoned: HashSet<ClaimId>,
    runs: HashMap<Digest, Vec<Run>>,
    next_id: u128,
}

impl World {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            now: Duration::from_hours(1),
            store: BTreeMap::new(),
            deleted: Vec::new(),
            late: Vec::new(),
            routers: (0..ROUTERS).map(|_| Router::default()).collect(),
            claims: HashMap::new(),
            abandoned: HashSet::new(),
            runs: HashMap::new(),
            next_id: 1,
        }
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.now.as_millis()).unwrap()
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Claim { router, key } => {
                self.claim(usize::from(router) % ROUTERS, key % KEYS, None);
            }
            Op::Step { router } => self.step(usize::from(router) % ROUTERS),
            Op::Deliver { router, luck } => self.deliver(usize::from(router) % ROUTERS, fate(luck)),
            Op::ApplyLate => {
                if let Some((number, segment)) = self.late.pop() {
                    self.create(number, segment);
                }
            }
            Op::Turn { router, luck } => {
                for _ in 0..2 {
                    self.step(usize::from(router) % ROUTERS);
                    self.deliver(usize::from(router) % ROUTERS, fate(luck));
                }
            }
            Op::GiveUp { chance, .. } if chance > 32 => {}
            Op::GiveUp { router, .. } => {
                let router = &mut self.routers[usize::from(router) % ROUTERS];
                self.abandoned.extend(router.chain.give_up(|_| true));
            }
            Op::Advance { steps } => self.now += Duration::from_millis(20) * u32::from(steps % 50),
            Op::AdvanceMinutes { minutes } if minutes > 16 => {}
            Op::AdvanceMinutes { minutes } => self.now += Duration::from_mins(u64::from(minutes)),
            Op::Trim { router } => self.trim(usize::from(router) % ROUTERS),
        }
    }

    fn claim(&mut self, router: usize, key: u8, instead_of: Option<ClaimId>) {
        let key = Digest::of(&[key]);
        let id = ClaimId::from_u128(self.next_id);
        self.next_id += 1;
        let claim = Claim {
            id,
            key,
            request: key,
            holder: format_compact!("router-{router}"),
            instead_of,
        };
        self.claims.insert(id, (self.now, claim.clone()));
        if let Some(status) = self.routers[router].chain.submit(claim) {
            self.decided(&[DecidedClaim { id, status }]);
        }
    }

    fn step(&mut self, router: usize) {
        let (instant, now_ms) = (self.instant(), self.now_ms());
        let start = window_start(now_ms, WINDOW + TIME_LIMIT + MARGIN);
        let router = &mut self.routers[router];
        if router.sent.is_none() {
            router.chain.remember_from(start);
            let step = router.chain.step(instant, now_ms);
            router.sent = (step != Step::Idle).then_some(step);
        }
    }

    fn deliver(&mut self, router: usize, fate: Fate) {
        let instant = self.instant();
        let Some(step) = self.routers[router].sent.take() else {
            return;
        };
        let decided = match step {
            Step::Idle => Vec::new(),
            Step::Load => {
                let segments = self.listing(fate);
                self.routers[router].chain.loaded(segments, instant)
            }
            Step::Write(number, segment) => self.write(router, number, segment, fate),
            Step::Read(number) => {
                if let Some((_, segment)) = self.store.get(&number) {
                    self.routers[router].chain.read(segment, instant)
                } else {
                    self.routers[router].chain.absent();
                    Vec::new()
                }
            }
        };
        self.decided(&decided);
    }

    /// Any fate but a plain answer makes the listing stale: everything is as it
    /// was a while ago.
    fn listing(&self, fate: Fate) -> Vec<(SegmentNumber, Segment)> {
        let stale = !matches!(fate, Fate::Answered);
        let as_of = if stale {
            self.now.saturating_sub(STALENESS)
        } else {
            self.now
        };
        let there = self.store.iter().filter(|(_, (at, _))| *at <= as_of);
        let there = there.map(|(n, (_, s))| (*n, s.clone()));
        let still = |d: &&(SegmentNumber, Duration, Duration, Segment)| d.1 <= as_of && d.2 > as_of;
        let gone_since = self.deleted.iter().filter(still);
        let gone_since = gone_since.map(|d| (d.0, d.3.clone()));
        let mut segments = there.chain(gone_since).collect::<Vec<_>>();
        segments.sort_by_key(|(number, _)| *number);
        segments
    }

    fn write(
        &mut self,
        router: usize,
        number: SegmentNumber,
        segment: Segment,
        fate: Fate,
    ) -> Vec<DecidedClaim> {
        let instant = self.instant();
        match fate {
            Fate::Answered => {
                let created = self.create(number, segment);
                let chain = &mut self.routers[router].chain;
                if created {
                    return chain.written(instant);
                }
                chain.refused();
            }
            Fate::LostAfterEffect => {
                self.create(number, segment);
                self.routers[router].chain.unsure();
            }
            Fate::LostBeforeEffect => self.routers[router].chain.unsure(),
            Fate::AppliedLate => {
                self.late.push((number, segment));
                self.routers[router].chain.unsure();
            }
            Fate::Unavailable => self.routers[router].chain.not_written(),
        }
        Vec::new()
    }

    fn create(&mut self, number: SegmentNumber, segment: Segment) -> bool {
        if self.store.contains_key(&number) {
            return false;
        }
        self.store.insert(number, (self.now, segment));
        true
    }

    fn trim(&mut self, router: usize) {
        for number in self.routers[router].chain.trim() {
            if let Some((written, segment)) = self.store.remove(&number) {
                self.deleted.push((number, written, self.now, segment));
            }
        }
    }

    fn decided(&mut self, decided: &[DecidedClaim]) {
        for DecidedClaim { id, status } in decided {
            match status {
                ClaimStatus::Granted if !self.abandoned.contains(id) => self.run(*id),
                ClaimStatus::Granted | ClaimStatus::Void => {
                    self.abandoned.insert(*id);
                }
                ClaimStatus::Taken(current) => {
                    self.abandoned.insert(*id);
                    if self.abandoned.contains(&current.id) {
                        self.claim_again(*id, current.id);
                    }
                }
            }
        }
    }

    /// The holder of the claim that stands promised never to send it.
    fn claim_again(&mut self, id: ClaimId, instead_of: ClaimId) {
        let (_, claim) = self.claims[&id].clone();
        let key = (0..KEYS)
            .find(|key| Digest::of(&[*key]) == claim.key)
            .unwrap();
        let router = claim.holder.trim_start_matches("router-").parse().unwrap();
        self.claim(router, key, Some(instead_of));
    }

    fn run(&mut self, claim: ClaimId) {
        let (made, Claim { key, .. }) = self.claims[&claim].clone();
        if made + TIME_LIMIT <= self.now {
            // Its holder looks at the deadline again before it sends.
            self.abandoned.insert(claim);
            return;
        }
        let runs = self.runs.entry(key).or_default();
        let now = self.now;
        let again = runs
            .iter()
            .find(|run| run.claim != claim && run.at + WINDOW > now);
        assert!(
            again.is_none(),
            "{key:?} runs twice: {again:?} and {claim} at {now:?}"
        );
        runs.push(Run { claim, at: now });
    }
}

fn check(ops: &[Op]) {
    let mut world = World::new();
    for op in ops {
        world.apply(*op);
    }
}

macro_rules! runs_at_most_once {
    ($name:ident, $len:expr) => {
        #[test]
        fn $name() {
            briarhall_fuzz::histories($len, check);
        }
    };
}

runs_at_most_once!(short_histories, 0..40);
runs_at_most_once!(long_histories, 100..400);

/// A router that kept the chain's place while others went on and forgot what
/// it knew must not find its old number free and take that for a grant.
#[test]
fn a_number_freed_by_trimming_grants_nothing() {
    let now = Instant::now();
    let claim = |id, key: u8| Claim {
        id: ClaimId::from_u128(id),
        key: Digest::of(&[key]),
        request: Digest::of(&[key]),
        holder: CompactString::const_new("router-0"),
        instead_of: None,
    };
    let mut chain = Chain::default();
    assert_eq!(chain.submit(claim(1, 1)), None);
    assert_eq!(chain.step(now, 0), Step::Load);
    chain.loaded(Vec::new(), now);
    let Step::Write(0, _) = chain.step(now, 0) else {
        panic!("the claim is written at once");
    };
    // The router is paused, the chain goes on and is trimmed, and the write
    // then finds its number free.
    let decided = chain.written(now + Duration::from_mins(12));
    let id = ClaimId::from_u128(1);
    assert_eq!(
        decided,
        [DecidedClaim {
            id,
            status: ClaimStatus::Void
        }]
    );
}
