//! Ways of choosing an engine that are compared.

use briarhall_policy::placement;
use briarhall_policy::placement::Candidate;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::Plan;
use briarhall_policy::placement::Urgency;
use briarhall_policy::placement::even;
use briarhall_policy::rendezvous;
use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use crate::load::ASSUMED_AGE_MS;
use crate::load::Demand;
use crate::load::Pattern;
use crate::load::float;
use crate::load::spec;

/// A way of choosing an engine for a short prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// `placement::short`, as it is without the switch.
    Today,
    /// The better of two random engines.
    TwoChoices,
    /// The least loaded engine of a subset of eight, with bounded load.
    Subsets,
    /// The least loaded engine among those whose turn is this gateway's.
    Turns,
    /// A draw weighted by predicted room, over all engines.
    RoomOfAll,
    /// `placement::even`: such a draw within the lane of short prompts.
    Even,
}

pub const WAYS: [Way; 6] = [
    Way::Today,
    Way::TwoChoices,
    Way::Subsets,
    Way::Turns,
    Way::RoomOfAll,
    Way::Even,
];

/// Engines of a gateway's subset.
pub const SUBSET: usize = 8;
/// Load above which an engine of a subset is passed over, relative to the mean.
pub const SUBSET_BOUND: f64 = 1.25;
/// Time for which an engine's turn stays with one gateway, in milliseconds: a heartbeat.
pub const TURN_MS: u64 = 25;

/// What a gateway knows when it chooses.
pub struct View {
    pub gateway: u64,
    pub now_ms: u64,
    pub age_ms: u64,
    pub urgency: Urgency,
    pub candidates: Vec<Candidate<usize>>,
}

impl Way {
    pub fn choose<R>(
        self,
        pattern: &Pattern,
        demand: &Demand,
        view: &View,
        rng: &mut R,
    ) -> Option<Plan<usize>>
    where
        R: Rng,
    {
        let (spec, prompt) = (spec(), demand.prompt());
        let candidates = &view.candidates;
        let unseen = pattern.placed_in(view.age_ms);
        let length = demand.length();
        if self == Self::Even {
            let plan = match length {
                Length::Short => even::short(&spec, &prompt, candidates, unseen, rng),
                Length::Medium => even::medium(&spec, &prompt, candidates, unseen),
                Length::Long => even::long(&spec, &prompt, view.urgency, candidates, unseen),
            };
            return plan.ok();
        }
        match length {
            Length::Medium => return placement::medium(&spec, &prompt, candidates).ok(),
            Length::Long => {
                return placement::long(&spec, &prompt, view.urgency, candidates).ok();
            }
            Length::Short => {}
        }
        if self == Self::Today {
            let unseen = pattern.placed_in(ASSUMED_AGE_MS);
            return placement::short(&spec, &prompt, candidates, unseen, rng).ok();
        }
        let load = |c: &Candidate<usize>| (float(c.load.requests as u64) + 1.0) * c.pace;
        let free = |c: &&Candidate<usize>| c.load.requests < c.slots;
        let open = candidates.iter().filter(free).collect::<Vec<_>>();
        let least = |among: &mut dyn Iterator<Item = &&Candidate<usize>>| {
            among
                .min_by(|a, b| load(a).total_cmp(&load(b)))
                .map(|c| c.key)
        };
        let first = match self {
            Self::TwoChoices => {
                let mut two = open.iter().sample(rng, 2);
                // A sample keeps the order, and of equals the first would be taken.
                two.shuffle(rng);
                least(&mut two.into_iter())
            }
            Self::Subsets => {
                let mean = open.iter().map(|c| load(c)).sum::<f64>() / float(open.len() as u64);
                let mut ranked = open.clone();
                ranked.sort_by_key(|c| rendezvous::weight(&view.gateway, &c.key));
                let bounded = ranked.iter().filter(|c| load(c) <= mean * SUBSET_BOUND);
                least(&mut bounded.take(SUBSET)).or_else(|| least(&mut ranked.iter()))
            }
            Self::Turns => {
                let turn = view.now_ms / TURN_MS;
                let owner = |c: &&&Candidate<usize>| {
                    rendezvous::weight(&turn, &c.key) % pattern.gateways == view.gateway
                };
                let own = least(&mut open.iter().filter(owner));
                own.or_else(|| open.iter().choose(rng).map(|c| c.key))
            }
            _ => {
                let room = |c: &Candidate<usize>| {
                    let free = (1.0 - load(c) / float(c.slots as u64 + 1)).max(0.0);
                    free * free / c.pace
                };
                let total = open.iter().map(|c| room(c)).sum::<f64>();
                let mut left = rng.random::<f64>() * total;
                let drawn = open.iter().find(|c| {
                    left -= room(c);
                    left < 0.0
                });
                drawn.or(open.last()).map(|c| c.key)
            }
        };
        first.map(|first| Plan {
            first,
            helpers: Vec::new(),
            part_ms: briarhall_policy::engine::prefill_ms(&spec, prompt.tokens, 1),
            part_tokens: 0,
            predicted_ms: 0.0,
        })
    }
}
