//! The control state of a gateway, behind one lock that is held for a decision
//! and never across an await.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use briarhall_net::Metrics;
use briarhall_net::Sessions;
use briarhall_policy::answer_times::AnswerTimes;
use briarhall_policy::cold_replicas::ColdReplicas;
use briarhall_policy::crashes::Crashes;
use briarhall_policy::crashing_parts::CrashingParts;
use briarhall_policy::crashing_parts::replica_digest;
use briarhall_policy::delivery::Deliveries;
use briarhall_policy::evacuations::Evacuations;
use briarhall_policy::health::Health;
use briarhall_policy::health::SendOutcome;
use briarhall_policy::in_flight::InFlightRequests;
use briarhall_policy::load_tracker::LoadTracker;
use briarhall_policy::load_tracker::tag;
use briarhall_policy::pace::Pace;
use briarhall_policy::pauses::Pauses;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::Incarnation;
use briarhall_policy::peers::Peers;
use briarhall_policy::peers::Presence;
use briarhall_policy::prompt_queue::PromptQueue;
use briarhall_policy::reach::Reach;
use briarhall_policy::replica_limits::ReplicaLimits;
use briarhall_policy::replicas::ReplicaEvent;
use briarhall_policy::replicas::ReplicaStatus;
use briarhall_policy::replicas::Replicas;
use briarhall_policy::request_rate::RequestRate;
use briarhall_policy::routes::RouteTable;
use briarhall_policy::store_readers::StoreReaders;
use briarhall_policy::window_budget::WindowBudget;
use briarhall_types::Configuration;
use briarhall_types::ReplicaId;
use briarhall_types::RouteName;
use briarhall_types::ServiceName;
use briarhall_types::StoreEra;
use briarhall_types::StorePosition;

use crate::cold;
use crate::session_limits::session_limits;
use crate::settings::Settings;
use crate::shortage::Shortage;

/// Number of gateways that are assumed to share a retry budget even when fewer
/// are known: a gateway that is cut off must not spend the others' share.
const MIN_GATEWAYS: usize = 10;

/// Failed sends that wait for a check.
const MAX_FAILED: usize = 128;

/// Client requests a second from which a gateway that is not advertised needs
/// every change of the others' work: fewer are spread over engines well enough
/// without.
const MIN_PLACING_RATE: f64 = 3.0;

/// The configuration in use.
#[derive(Debug, Clone)]
pub struct CurrentConfiguration {
    /// Position in the store at which it was written.
    pub position: StorePosition,
    /// The configuration as it was read, to relay to other gateways.
    pub configuration: Arc<Configuration>,
    /// Its routes, engines and keys, indexed for lookup.
    pub table: Arc<RouteTable>,
}

/// Limits of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopLimits {
    /// Until when clients may come that asked a directory before the stop.
    pub unaware_until: Instant,
    /// When answers to clients that come later have to end.
    pub late_answers_until: Instant,
    /// When the process answers what is still in flight, and ends.
    pub deadline: Instant,
}

/// All control state.
#[derive(Debug)]
pub struct State {
    /// The configuration, once one is known.
    pub current_configuration: Option<CurrentConfiguration>,
    /// Replicas that the registry lists.
    pub replicas: Replicas,
    /// Whether the registry was read since the process started.
    pub registry_known: bool,
    /// Availability zones to whose replicas nothing may be sent.
    pub evacuations: Evacuations,
    /// Health of replicas, by the outcomes of sends.
    pub health: Health,
    /// Health of gateways that send on requests, by the outcomes of detours.
    pub peer_health: Health,
    /// Whether this gateway reaches replicas.
    pub reach: Reach,
    /// Replicas that want no requests from this gateway for a time.
    pub pauses: Pauses,
    /// Paces of replicas, where they are observed.
    pub pace: Pace,
    /// Limits that replicas name for all gateways together.
    pub replica_limits: ReplicaLimits,
    /// Replicas that have just started, and what they may get.
    pub cold_replicas: ColdReplicas,
    /// Requests that may crash replicas.
    pub crashes: Crashes,
    /// Parts of prompts that may crash replicas.
    pub crashing_parts: CrashingParts,
    /// Work in flight at the replicas, this gateway's and its peers'.
    pub load_tracker: LoadTracker,
    /// Long prompts that wait for engines, here and at peers.
    pub prompt_queue: PromptQueue,
    /// Usage by organisation, for shortages of capacity.
    pub shortage: Shortage,
    /// Other gateways.
    pub peers: Peers,
    /// Whether this gateway reads the store.
    pub store_readers: StoreReaders,
    /// How far the lists are known to be complete.
    pub deliveries: Deliveries,
    /// Client requests that arrive at this gateway.
    pub request_rate: RequestRate,
    /// Whether the directory names this gateway to clients, as of its last
    /// regular heartbeat.
    pub advertised: bool,
    /// Whether this gateway is stopping.
    pub stopping: bool,
    /// Limits of a stop, once this gateway is stopping.
    pub stop: Option<StopLimits>,
    /// Times of the last answers.
    pub answer_times: AnswerTimes,
    /// Client requests that are not yet answered in full.
    pub in_flight: InFlightRequests,
    /// Eras of the store in which each list was last read.
    eras: HashMap<&'static str, StoreEra>,
    budgets: HashMap<ServiceName, WindowBudget>,
    sequence: u64,
    round_robin: usize,
}

/// Shares the control state between the tasks of a gateway.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Random number of this run of the process.
    pub incarnation: Incarnation,
    state: Mutex<State>,
    heartbeat_requests: Sender<()>,
    failed: Sender<FailedSend>,
    link_checks: Sender<()>,
    sessions: OnceLock<Sessions>,
    /// Closed when what is still in flight is to end.
    end_requests: (Sender<()>, Receiver<()>),
}

/// Receives what tasks ask of each other.
#[derive(Debug)]
pub struct Requests {
    /// Requests of heartbeats.
    pub heartbeats: Receiver<()>,
    /// Sends that failed.
    pub failed: Receiver<FailedSend>,
    /// Requests to check this gateway's links to replicas.
    pub link_checks: Receiver<()>,
}

/// A send that failed for which the replica or this gateway's links may be at fault.
#[derive(Debug, Clone)]
pub struct FailedSend {
    /// Where it was sent.
    pub replica: ReplicaId,
    /// How it failed.
    pub outcome: SendOutcome,
}

impl Shared {
    /// Creates the state of a process that has read nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> (Arc<Self>, Requests) {
        let (heartbeat_requests, heartbeats) = async_channel::bounded(1);
        let (link_checks, link_checks_rx) = async_channel::bounded(1);
        let (failed, failed_rx) = async_channel::bounded(MAX_FAILED);
        let state = State {
            current_configuration: None,
            replicas: Replicas::default(),
            registry_known: false,
            evacuations: Evacuations::new(settings.evacuated_within.is_some()),
            health: Health::default(),
            peer_health: Health::default(),
            reach: Reach::default(),
            pauses: Pauses::default(),
            pace: Pace::default(),
            replica_limits: ReplicaLimits::default(),
            cold_replicas: ColdReplicas::default(),
            crashes: Crashes::default(),
            crashing_parts: CrashingParts::default(),
            load_tracker: LoadTracker::default(),
            prompt_queue: PromptQueue::default(),
            shortage: Shortage::default(),
            peers: Peers::default(),
            store_readers: StoreReaders::new(settings.all_read_up_to, settings.in_force_within),
            deliveries: Deliveries::new(&settings.lists(), settings.in_force_within),
            request_rate: RequestRate::default(),
            advertised: false,
            stopping: false,
            stop: None,
            answer_times: AnswerTimes::default(),
            in_flight: InFlightRequests::default(),
            eras: HashMap::new(),
            budgets: HashMap::new(),
            sequence: 0,
            round_robin: 0,
        };
        let shared = Self {
            settings,
            metrics: Metrics::in_memory("briarhall.gateway"),
            incarnation: rand::random(),
            state: Mutex::new(state),
            heartbeat_requests,
            failed,
            link_checks,
            end_requests: async_channel::bounded(1),
            sessions: OnceLock::new(),
        };
        let requests = Requests {
            heartbeats,
            failed: failed_rx,
            link_checks: link_checks_rx,
        };
        (Arc::new(shared), requests)
    }

    /// Locks the state for a decision.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the client sessions, whose limits follow the configuration.
    pub fn limit_sessions(&self, sessions: Sessions) {
        let limits = self
            .state()
            .current_configuration
            .as_ref()
            .map(|current| current.table.limits());
        if let Some(limits) = limits {
            sessions.set_limits(session_limits(limits));
        }
        // Called once, at the start.
        let _set_before = self.sessions.set(sessions);
    }

    /// Marks this gateway as stopping, so that directories no longer list it,
    /// and returns how many requests are not yet answered in full.
    pub fn begin_stop(&self, limits: StopLimits) -> usize {
        let mut state = self.state();
        state.stopping = true;
        state.stop = Some(limits);
        let in_flight = state.in_flight.len();
        drop(state);
        self.request_heartbeat();
        in_flight
    }

    /// Takes no more requests, and answers those in flight to whose clients nothing has been
    /// sent.
    pub fn end_requests(&self) {
        self.state().in_flight.close();
        self.end_requests.0.close();
    }

    /// Waits until what is still in flight is to end.
    pub async fn requests_end(&self) {
        // Nothing is ever sent on the channel; it is only closed.
        let _closed = self.end_requests.1.recv().await;
    }

    /// Requests a heartbeat soon, after a change that peers need to know.
    pub fn request_heartbeat(&self) {
        // A full channel means that one is about to be sent.
        let _already_requested = self.heartbeat_requests.try_send(());
    }

    /// Requests a check of a replica to which a send has failed.
    pub fn request_replica_check(&self, id: &ReplicaId, outcome: SendOutcome) {
        // A full channel holds other sends that failed for the same reason.
        let _already_requested = self.failed.try_send(FailedSend {
            replica: id.clone(),
            outcome,
        });
    }

    /// Requests a check of this gateway's links to replicas, as another one's are cut.
    pub fn request_link_check(&self) {
        // A full channel means that one is about to begin.
        let _already_requested = self.link_checks.try_send(());
    }

    /// Records a client's request, which adds a fraction of a retry to the
    /// service's budget. One that another gateway sends on adds it there.
    pub fn record_arrival(&self, service: &ServiceName, is_detoured: bool) {
        let now = Instant::now();
        let mut state = self.state();
        state.request_rate.record(now);
        if is_detoured {
            return;
        }
        let budget = state.budget(service, &self.settings);
        budget.record_request(now);
    }

    /// Records how long a complete answer took.
    pub fn record_answer_time(&self, route: &RouteName, time: Duration) {
        let mut state = self.state();
        state.answer_times.record(route, time, Instant::now());
    }

    /// Returns whether a service's budget allows a retry now.
    pub fn has_budget(&self, service: &ServiceName) -> bool {
        let mut state = self.state();
        let gateways = state.gateways();
        let budget = state.budget(service, &self.settings);
        budget.left(gateways) >= 1.0
    }

    /// Logs that the store was restored from a copy since what was last read of it.
    pub fn record_era(&self, what: &'static str, position: StorePosition, source: &str) {
        let mut state = self.state();
        let known = state.eras.entry(what).or_insert(position.era);
        let before = *known;
        *known = position.era.max(before);
        drop(state);
        if position.era > before {
            self.metrics.count("store_restored");
            log::info!(event = "store_restored", what, era = position.era, revision = position.revision, source; "the store was restored from a copy");
        } else if position.era < before {
            log::warn!(event = "store_era_behind", what, era = position.era, known_era = before, source; "ignoring an answer of an earlier era of the store");
        }
    }

    /// Applies a configuration, unless the current one is as new or newer.
    pub fn apply_configuration(
        &self,
        configuration: Configuration,
        position: StorePosition,
        source: &str,
    ) {
        let mut state = self.state();
        let version = configuration.version;
        if state.held_configuration() >= (HeldConfiguration { version, position }) {
            return;
        }
        let (era, revision) = (position.era, position.revision);
        self.metrics.count("configuration_changed");
        log::info!(event = "configuration", version, era, revision, source; "configuration applied");
        let cold_limits = cold::limits(&configuration, self.settings.cold_bound);
        state.cold_replicas.set_limits(cold_limits);
        let table = Arc::new(RouteTable::new(configuration.clone()));
        if let Some(sessions) = self.sessions.get() {
            sessions.set_limits(session_limits(table.limits()));
        }
        state.current_configuration = Some(CurrentConfiguration {
            position,
            configuration: Arc::new(configuration),
            table,
        });
        drop(state);
        self.request_heartbeat();
    }

    /// Returns this gateway's part of its next heartbeat, with a new sequence
    /// number.
    pub fn next_presence(&self, state: &mut State, now: Instant) -> Presence {
        state.sequence += 1;
        self.presence(state, now)
    }

    /// Returns how this gateway presents itself to the others.
    #[must_use]
    pub fn presence(&self, state: &State, now: Instant) -> Presence {
        let requests_per_s = state.request_rate.per_s(now);
        let places_requests = state.advertised
            || requests_per_s >= MIN_PLACING_RATE
            || state.prompt_queue.own_count() > 0;
        Presence {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            sequence: state.sequence,
            gossip_address: self.settings.gossip_address,
            relay_address: self.settings.relay_address,
            client_address: self.settings.client_address,
            zone: self.settings.zone.clone(),
            ready: state.is_ready(),
            stopping: state.stopping,
            millicores: self.settings.millicores,
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a rate of requests is small and not negative"
            )]
            requests_per_s: requests_per_s.ceil() as u32,
            places_requests,
            cut_off: state.reach.is_cut_off(),
            configuration: state.held_configuration(),
            replicas: state.replicas.position(),
            store: state.store_readers.report(state.advertised, now),
        }
    }
}

impl State {
    /// Returns whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.registry_known && self.evacuations.is_known();
        self.current_configuration.is_some() && known && !self.stopping
    }

    /// Logs changes of replicas, and clears the health records of those that
    /// are gone or restarted.
    pub fn record_replica_events(&mut self, events: &[ReplicaEvent], source: &str) {
        let (cold, now) = (&mut self.cold_replicas, Instant::now());
        cold::observe_events(cold, &self.replicas, events, now);
        for event in events {
            if event.status == ReplicaStatus::Restarted {
                self.pauses.forget(&event.id);
            }
            if matches!(event.status, ReplicaStatus::Gone | ReplicaStatus::Restarted) {
                self.health.forget(&event.id);
                self.pace.forget(&event.id);
                self.replica_limits.forget(tag(event.id.as_str()));
                self.record_crash(&event.id, event.status.as_str());
            }
            log::info!(
                event = "replica",
                replica = event.id.as_str(),
                belief = event.status.as_str(),
                era = event.position.era,
                revision = event.position.revision,
                source;
                "replica status changed"
            );
        }
    }

    /// Applies which gateways are up to the shares in cold replicas, and logs and counts
    /// those replicas. Does nothing where no service has a cold limit.
    pub fn update_cold_replicas(&mut self, own: &Presence, metrics: &Metrics, now: Instant) {
        cold::update(&mut self.cold_replicas, own, &self.peers, metrics, now);
    }

    /// Returns whether other gateways may not know yet what this one sent to replicas
    /// with a limit.
    #[must_use]
    pub fn repeats_sends(&self, now: Instant) -> bool {
        self.replica_limits.is_repeated(now) || self.cold_replicas.is_repeated(now)
    }

    /// Returns the version in force and where the store has it.
    #[must_use]
    pub fn held_configuration(&self) -> HeldConfiguration {
        let current = self.current_configuration.as_ref();
        let held = current.map(|current| HeldConfiguration {
            version: current.table.version(),
            position: current.position,
        });
        held.unwrap_or_default()
    }

    /// Returns how many round-robin choices were made, and counts one more.
    pub fn next_round_robin(&mut self) -> usize {
        let round_robin = self.round_robin;
        self.round_robin = round_robin.wrapping_add(1);
        round_robin
    }

    /// Records that a replica is gone or cannot be reached. Requests whose
    /// connections to it broke shortly before were in flight at a crash.
    pub fn record_crash(&mut self, id: &ReplicaId, evidence: &str) {
        let in_flight = self.crashes.crashed(id, Instant::now());
        if in_flight.is_empty() {
            return;
        }
        let replica = replica_digest(id);
        for broken in &in_flight {
            self.crashing_parts
                .crashed(replica, &broken.parts, broken.sent_at, broken.broke_at);
        }
        let suspected = in_flight.iter().filter(|b| !b.parts.is_empty()).count();
        log::info!(
            event = "replica_crashed",
            replica = id.as_str(),
            evidence,
            on_board = in_flight.len(),
            suspected;
            "replica crashed"
        );
    }

    /// Returns the retry budget of a service.
    pub fn budget(&mut self, service: &ServiceName, settings: &Settings) -> &mut WindowBudget {
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| WindowBudget::new(settings.budget))
    }

    /// Returns how many gateways share the retry budgets.
    #[must_use]
    pub fn gateways(&self) -> usize {
        (self.peers.count() + 1).max(MIN_GATEWAYS)
    }
}
