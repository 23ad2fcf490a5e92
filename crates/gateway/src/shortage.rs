//! Requests that compete for the room of a service without room for all.
//!
//! This is apart from the control state: a contender is passed what it needs of that.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use briarhall_net::Metrics;
use briarhall_policy::load_tracker::LoadTracker;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::pauses::Pauses;
use briarhall_policy::placement;
use briarhall_policy::placement::Length;
use briarhall_policy::placement::PlacementError;
use briarhall_policy::placement::Prompt;
use briarhall_policy::replicas::Replicas;
use briarhall_policy::shares_in_shortage::Asking;
use briarhall_policy::shares_in_shortage::Claim;
use briarhall_policy::shares_in_shortage::Lane;
use briarhall_policy::shares_in_shortage::Reason;
use briarhall_policy::shares_in_shortage::SharesInShortage;
use briarhall_policy::shares_in_shortage::Verdict;
use briarhall_policy::shares_in_shortage::WaitKey;
use briarhall_policy::shares_in_shortage::cost_ms;
use briarhall_policy::size_classes::SizeClasses;
use briarhall_types::EngineSpec;
use briarhall_types::ServiceName;
use compact_str::CompactString;

use crate::request_error::DEFAULT_RETRY_AFTER;

/// Share of the engines that long prompts get under load.
pub const LONG_PROMPT_ENGINE_SHARE: f64 = 0.8;
/// Age from which the room of a service is computed anew: one attempt to place a
/// request. Many requests wait at the same time in a shortage.
const ROOM_FOR: Duration = Duration::from_millis(8);
/// Part of its wait after which a request that is large for its kind goes before smaller
/// ones: most requests of a kind are placed earlier.
const LARGE_AFTER_SHARE: f64 = 0.25;

/// What a gateway knows of shortages, shared with the requests that wait. Its lock is
/// taken after that of the control state, and never held while that one is taken.
#[derive(Debug, Clone, Default)]
pub struct Shortage(Arc<Mutex<Known>>);

/// Usage by organisation, and what is needed to judge a request.
#[derive(Debug, Default)]
pub struct Known {
    /// Usage by organisation and the order in a shortage.
    pub shares: SharesInShortage,
    sizes: SizeClasses,
    rooms: HashMap<(u32, u32), (Instant, Room)>,
}

impl Shortage {
    /// Locks it for a decision.
    pub fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the control state knows of the engines and the other gateways.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Replicas that the registry lists.
    pub replicas: &'a Replicas,
    /// Work in flight.
    pub load_tracker: &'a LoadTracker,
    /// Replicas that want no requests for a time.
    pub pauses: &'a Pauses,
    /// Gateways that serve, with this one.
    pub gateways: usize,
    /// The time.
    pub now: Instant,
}

/// A request for an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest<'a> {
    /// Its id.
    pub id: &'a str,
    /// The service.
    pub service: &'a ServiceName,
    /// Route that matched it; its requests are one kind.
    pub route: &'a str,
    /// Organisation that sent it, or nothing on an anonymous route.
    pub organisation: &'a str,
    /// Its priority; 0 goes first.
    pub priority: u32,
    /// Performance of the service's engines.
    pub spec: &'a EngineSpec,
    /// Size and time limits.
    pub prompt: Prompt,
    /// When its head arrived.
    pub arrived: Instant,
    /// Whether it was not tried before.
    pub is_new: bool,
}

/// Room of a service's engines, as far as known.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    free: usize,
    slots: usize,
    engines: u32,
}

/// A request that competes for room, until this is dropped.
#[derive(Debug)]
pub struct Contender {
    shortage: Shortage,
    metrics: Metrics,
    id: CompactString,
    service: ServiceName,
    arrived: Instant,
    claim: Claim,
    cost_ms: f64,
    /// Tokens that it holds in an engine's memory.
    tokens: u64,
    /// Tokens that an engine's memory holds.
    engine_tokens: u64,
    large: bool,
    waiting: Option<WaitKey>,
    held: Option<Reason>,
    has_news: bool,
}

impl Contender {
    /// Records that a request asks for engine time.
    #[must_use]
    pub fn new(shortage: &Shortage, metrics: &Metrics, req: &EngineRequest<'_>) -> Self {
        let lane = match placement::length(req.spec, &req.prompt) {
            Length::Short | Length::Medium => Lane::Slots,
            Length::Long => Lane::Engines,
        };
        let claim = Claim {
            service: tag(req.service.as_str()),
            lane,
            priority: req.priority,
            organisation: tag(req.organisation),
        };
        let cost_ms = cost_ms(req.spec, &req.prompt);
        let mut large = false;
        if req.is_new {
            let mut known = shortage.known();
            large = known.sizes.record(tag(req.route), req.prompt.tokens);
            known.shares.ask(claim, cost_ms, Instant::now());
        }
        Self {
            shortage: shortage.clone(),
            metrics: metrics.clone(),
            id: req.id.into(),
            service: req.service.clone(),
            arrived: req.arrived,
            claim,
            cost_ms,
            tokens: req
                .prompt
                .tokens
                .saturating_add(req.prompt.max_output)
                .max(1),
            engine_tokens: req.spec.kv_tokens,
            large,
            waiting: None,
            held: None,
            has_news: false,
        }
    }

    /// Returns whether the other gateways need to know something new at once.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns after which time the caller may come back when the request, which can wait
    /// for `patience`, is refused at once; otherwise it counts as waiting from now on.
    pub fn enter(&mut self, view: &View<'_>, patience: Duration) -> Option<Duration> {
        let shortage = self.shortage.clone();
        let mut known = shortage.known();
        let verdict = self.verdict(&mut known, view, Some(patience));
        if let Verdict::Refuse(reason, wait) = verdict {
            known.shares.found_no_room(self.claim, view.now);
            let after = self.next_return(&mut known, view, wait);
            drop(known);
            self.log_refused(reason, after);
            return Some(after);
        }
        let large_at = view.now + patience.mul_f64(LARGE_AFTER_SHARE);
        let large_at = self.large.then_some(large_at);
        let waiting = known.shares.wait(self.claim, self.cost_ms, large_at);
        self.waiting = Some(waiting);
        self.has_news = known.shares.is_short(self.claim.service, view.now);
        None
    }

    /// Returns whether the request may wait although the queue of long prompts is longer
    /// than it has time for: its organisation is below its share, and the others' prompts
    /// give way.
    pub fn may_join_long_queue(&mut self, view: &View<'_>) -> bool {
        let shortage = self.shortage.clone();
        let mut known = shortage.known();
        self.note_no_room(&mut known, view.now);
        let asking = self.asking(&mut known, view, None);
        known.shares.is_below_share(&asking, view.now)
    }

    /// Returns whether others go first now.
    pub fn is_behind(&mut self, view: &View<'_>) -> bool {
        let shortage = self.shortage.clone();
        let verdict = self.verdict(&mut shortage.known(), view, None);
        let Verdict::Behind(reason) = verdict else {
            return false;
        };
        if self.held != Some(reason) {
            self.held = Some(reason);
            self.metrics.count("held_in_shortage");
            log::info!(
                event = "held",
                request = self.id.as_str(),
                service = self.service.as_str(),
                share = reason.as_str(),
                priority = self.claim.priority,
                waited_ms = self.arrived.elapsed().as_millis();
                "others go first in a shortage"
            );
        }
        true
    }

    /// Records why the request was not placed. For a long prompt it is no sign of a
    /// shortage that no engine is free at the moment.
    pub fn not_placed(&mut self, reason: PlacementError, now: Instant) {
        if reason == PlacementError::Full && self.claim.lane == Lane::Slots {
            let shortage = self.shortage.clone();
            self.note_no_room(&mut shortage.known(), now);
        }
    }

    /// Records that the request gives up, and returns after which time its caller may
    /// come back.
    pub fn gives_up(&mut self, view: &View<'_>, reason: PlacementError) -> Duration {
        if reason != PlacementError::Full {
            return DEFAULT_RETRY_AFTER;
        }
        let shortage = self.shortage.clone();
        let mut known = shortage.known();
        self.note_no_room(&mut known, view.now);
        let after = self.next_return(&mut known, view, DEFAULT_RETRY_AFTER);
        drop(known);
        if let Some(reason) = self.held {
            self.log_refused(reason, after);
        }
        after
    }

    /// Records that the request is sent.
    pub fn placed(&self) {
        let mut known = self.shortage.known();
        known
            .shares
            .record(self.claim, self.cost_ms, Instant::now());
    }

    /// Returns after which time the callers of refused requests come back one after the
    /// other, the first after `wait`.
    #[must_use]
    pub fn spread(&self, view: &View<'_>, wait: Duration) -> Duration {
        self.next_return(&mut self.shortage.known(), view, wait)
    }

    fn note_no_room(&mut self, known: &mut Known, now: Instant) {
        if known.shares.found_no_room(self.claim, now) {
            self.has_news = true;
            self.metrics.count("shortage_began");
            log::info!(
                event = "shortage",
                request = self.id.as_str(),
                service = self.service.as_str(),
                long = self.claim.lane == Lane::Engines,
                priority = self.claim.priority;
                "a service lacks room for all requests"
            );
        }
    }

    fn log_refused(&self, reason: Reason, wait: Duration) {
        self.metrics.count("refused_in_shortage");
        if reason == Reason::Share {
            self.metrics.count("refused_for_share");
        }
        log::info!(
            event = "share_refused",
            request = self.id.as_str(),
            service = self.service.as_str(),
            share = reason.as_str(),
            priority = self.claim.priority,
            wait_ms = wait.as_millis(),
            waited_ms = self.arrived.elapsed().as_millis();
            "refused in a shortage, as others go first"
        );
    }

    fn verdict(&self, known: &mut Known, view: &View<'_>, patience: Option<Duration>) -> Verdict {
        if !known.shares.is_short(self.claim.service, view.now) {
            return Verdict::Admit;
        }
        let asking = self.asking(known, view, patience);
        known.shares.verdict(&asking, view.now)
    }

    fn next_return(&self, known: &mut Known, view: &View<'_>, wait: Duration) -> Duration {
        let asking = self.asking(known, view, None);
        let (cost_ms, gateways) = (self.cost_ms, view.gateways);
        known
            .shares
            .next_return(&asking, cost_ms, wait, gateways, view.now)
    }

    fn asking(&self, known: &mut Known, view: &View<'_>, patience: Option<Duration>) -> Asking {
        let room = self.room(known, view);
        let whole_engines = self.claim.lane == Lane::Engines;
        let engines = f64::from(room.engines.max(1));
        Asking {
            claim: self.claim,
            large: self.large,
            free: if whole_engines { 0 } else { room.free },
            slots: if whole_engines { 0 } else { room.slots },
            capacity: whole_engines.then_some(engines * LONG_PROMPT_ENGINE_SHARE),
            patience,
        }
    }

    /// Returns the room for requests of this size.
    fn room(&self, known: &mut Known, view: &View<'_>) -> Room {
        let key = (self.claim.service, self.tokens.ilog2());
        if let Some((at, room)) = known.rooms.get(&key)
            && view.now.saturating_duration_since(*at) < ROOM_FOR
        {
            return *room;
        }
        let loads = view.load_tracker.loads(view.now);
        let mut room = Room::default();
        let engines = view.replicas.usable();
        let engines = engines.filter(|record| record.service == self.service);
        for engine in engines.filter(|record| !view.pauses.is_paused(&record.id, view.now)) {
            let slots = usize::try_from(engine.slots).unwrap_or(usize::MAX);
            let (requests, held) = loads
                .get(&tag(engine.id.as_str()))
                .map_or((0, 0), |load| (load.requests, load.kv_tokens));
            let fitting = self.engine_tokens.saturating_sub(held) / self.tokens;
            let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
            room.free += slots.saturating_sub(requests).min(fitting);
            room.slots = room.slots.saturating_add(slots);
            room.engines += 1;
        }
        known.rooms.insert(key, (view.now, room));
        room
    }
}

impl Drop for Contender {
    fn drop(&mut self) {
        if let Some(key) = self.waiting.take() {
            self.shortage.known().shares.leave(key);
        }
    }
}
