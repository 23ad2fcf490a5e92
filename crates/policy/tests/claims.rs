//! Claims: several routers write one chain through a store that loses responses,
//! applies writes late and deletes old segments. An oracle checks that no two
//! claims on a key run within its window.

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
/// Time limit of a request, after which its holder no longer sends it.
const TIME_LIMIT: Duration = Duration::from_mins(1);
/// Time for which claims are retained beyond the window and the time limit.
const MARGIN: Duration = Duration::from_mins(1);
/// Maximum age of a stale listing.
const STALENESS: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
enum Outcome {
    Answered,
    LostAfterEffect,
    LostBeforeEffect,
    AppliedLate,
    Unavailable,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller sends a request with a key to a router.
    Claim { router: u8, key: u8 },
    /// A router starts its next step.
    Step { router: u8 },
    /// The store processes a router's step, with this outcome.
    Deliver { router: u8, outcome: u8 },
    /// A write with an unknown outcome takes effect late.
    ApplyLate,
    /// A router starts two steps, and the store processes each of them.
    StepAndDeliver { router: u8, outcome: u8 },
    /// A router gives up its waiting claims and never sends their requests; for
    /// most values of `chance` nothing happens.
    GiveUp { router: u8, chance: u8 },
    /// Time advances, in units of 20 ms.
    Advance { steps: u8 },
    /// Time advances by up to 16 minutes; larger values have no effect.
    AdvanceMinutes { minutes: u8 },
    /// A router deletes its discarded segments.
    Trim { router: u8 },
}

/// Maps a byte to an outcome, which is [`Outcome::Answered`] for about two thirds of
/// the values.
fn store_outcome(outcome: u8) -> Outcome {
    match outcome % 12 {
        0 => Outcome::LostAfterEffect,
        1 => Outcome::LostBeforeEffect,
        2 => Outcome::AppliedLate,
        3 => Outcome::Unavailable,
        _ => Outcome::Answered,
    }
}

#[derive(Debug, Default)]
struct Router {
    chain: Chain,
    pending: Option<Step>,
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
    delayed: Vec<(SegmentNumber, Segment)>,
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
            delayed: Vec::new(),
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
            Op::Deliver { router, outcome } => {
                self.deliver(usize::from(router) % ROUTERS, store_outcome(outcome));
            }
            Op::ApplyLate => {
                if let Some((number, segment)) = self.delayed.pop() {
                    self.create(number, segment);
                }
            }
            Op::StepAndDeliver { router, outcome } => {
                for _ in 0..2 {
                    self.step(usize::from(router) % ROUTERS);
                    self.deliver(usize::from(router) % ROUTERS, store_outcome(outcome));
                }
            }
            Op::GiveUp { chance, .. } if chance > 32 => {}
            Op::GiveUp { router, .. } => {
                let router = &mut self.routers[usize::from(router) % ROUTERS];
                self.abandoned.extend(router.chain.remove_waiting(|_| true));
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
            self.apply_decisions(&[DecidedClaim { id, status }]);
        }
    }

    fn step(&mut self, router: usize) {
        let (instant, now_ms) = (self.instant(), self.now_ms());
        let start = window_start(now_ms, WINDOW + TIME_LIMIT + MARGIN);
        let router = &mut self.routers[router];
        if router.pending.is_none() {
            router.chain.retain_from(start);
            let step = router.chain.step(instant, now_ms);
            router.pending = (step != Step::Idle).then_some(step);
        }
    }

    fn deliver(&mut self, router: usize, outcome: Outcome) {
        let instant = self.instant();
        let Some(step) = self.routers[router].pending.take() else {
            return;
        };
        let decided = match step {
            Step::Idle => Vec::new(),
            Step::Load => {
                let segments = self.listing(outcome);
                self.routers[router].chain.loaded(segments, instant)
            }
            Step::Write(number, segment) => self.write(router, number, segment, outcome),
            Step::Read(number) => {
                if let Some((_, segment)) = self.store.get(&number) {
                    self.routers[router].chain.apply_segment(segment, instant)
                } else {
                    self.routers[router].chain.absent();
                    Vec::new()
                }
            }
        };
        self.apply_decisions(&decided);
    }

    /// Lists the segments. Any outcome other than [`Outcome::Answered`] gives the
    /// stale listing of [`STALENESS`] ago.
    fn listing(&self, outcome: Outcome) -> Vec<(SegmentNumber, Segment)> {
        let stale = !matches!(outcome, Outcome::Answered);
        let as_of = if stale {
            self.now.saturating_sub(STALENESS)
        } else {
            self.now
        };
        let stored = self.store.iter().filter(|(_, (at, _))| *at <= as_of);
        let stored = stored.map(|(n, (_, s))| (*n, s.clone()));
        let was_stored =
            |d: &&(SegmentNumber, Duration, Duration, Segment)| d.1 <= as_of && d.2 > as_of;
        let deleted_since = self.deleted.iter().filter(was_stored);
        let deleted_since = deleted_since.map(|d| (d.0, d.3.clone()));
        let mut segments = stored.chain(deleted_since).collect::<Vec<_>>();
        segments.sort_by_key(|(number, _)| *number);
        segments
    }

    fn write(
        &mut self,
        router: usize,
        number: SegmentNumber,
        segment: Segment,
        outcome: Outcome,
    ) -> Vec<DecidedClaim> {
        let instant = self.instant();
        match outcome {
            Outcome::Answered => {
                let created = self.create(number, segment);
                let chain = &mut self.routers[router].chain;
                if created {
                    return chain.written(instant);
                }
                chain.number_taken();
            }
            Outcome::LostAfterEffect => {
                self.create(number, segment);
                self.routers[router].chain.outcome_unknown();
            }
            Outcome::LostBeforeEffect => self.routers[router].chain.outcome_unknown(),
            Outcome::AppliedLate => {
                self.delayed.push((number, segment));
                self.routers[router].chain.outcome_unknown();
            }
            Outcome::Unavailable => self.routers[router].chain.not_written(),
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
        for number in self.routers[router].chain.take_discarded() {
            if let Some((written, segment)) = self.store.remove(&number) {
                self.deleted.push((number, written, self.now, segment));
            }
        }
    }

    fn apply_decisions(&mut self, decided: &[DecidedClaim]) {
        for DecidedClaim { id, status } in decided {
            match status {
                ClaimStatus::Granted if !self.abandoned.contains(id) => self.run(*id),
                ClaimStatus::Granted | ClaimStatus::Void => {
                    self.abandoned.insert(*id);
                }
                ClaimStatus::Taken(current) => {
                    self.abandoned.insert(*id);
                    if self.abandoned.contains(&current.id) {
                        self.replace_abandoned(*id, current.id);
                    }
                }
            }
        }
    }

    /// Claims the key in place of the active claim, whose holder abandoned it.
    fn replace_abandoned(&mut self, id: ClaimId, instead_of: ClaimId) {
        let (_, claim) = self.claims[&id].clone();
        let key = (0..KEYS)
            .find(|key| Digest::of(&[*key]) == claim.key)
            .unwrap();
        let router = claim.holder.trim_start_matches("router-").parse().unwrap();
        self.claim(router, key, Some(instead_of));
    }

    fn run(&mut self, claim: ClaimId) {
        let (claimed_at, Claim { key, .. }) = self.claims[&claim].clone();
        if claimed_at + TIME_LIMIT <= self.now {
            // The holder checks the deadline again before it sends the request.
            self.abandoned.insert(claim);
            return;
        }
        let runs = self.runs.entry(key).or_default();
        let now = self.now;
        let earlier = runs
            .iter()
            .find(|run| run.claim != claim && run.at + WINDOW > now);
        assert!(
            earlier.is_none(),
            "{key:?} runs twice: {earlier:?} and {claim} at {now:?}"
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

/// While a router is paused, other routers can extend the chain, discard the
/// segment at its next number and delete it. Its write then finds the number
/// free, which must not count as a grant.
#[test]
fn write_to_number_freed_by_trim_is_void() {
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
        panic!("the first step after loading must write the claim");
    };
    // The write succeeds only after a pause in which the chain may have been
    // extended and trimmed.
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
