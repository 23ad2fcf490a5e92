//! Guards against damaged, truncated or foreign datagrams that a gateway
//! applies as heartbeats: whatever decodes must leave its state usable.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_gateway::heartbeat::Heartbeat;
use briarhall_policy::cold_replicas::ColdObservation;
use briarhall_policy::cold_replicas::ColdReplicas;
use briarhall_policy::cold_replicas::ColdReport;
use briarhall_policy::crashes::Crashes;
use briarhall_policy::crashes::Observation;
use briarhall_policy::crashes::ObservedOutcome;
use briarhall_policy::crashing_parts::CrashingParts;
use briarhall_policy::crashing_parts::PartObservation;
use briarhall_policy::crashing_parts::PartOutcome;
use briarhall_policy::delivery::Deliveries;
use briarhall_policy::delivery::DeliveryReport;
use briarhall_policy::departures::HeardBy;
use briarhall_policy::departures::ReplicaProcess;
use briarhall_policy::evacuations::EvacuationReport;
use briarhall_policy::evacuations::Evacuations;
use briarhall_policy::evacuations::RetainedZone;
use briarhall_policy::health::FailedRequests;
use briarhall_policy::health::Health;
use briarhall_policy::load_tracker::LoadTracker;
use briarhall_policy::load_tracker::Phase;
use briarhall_policy::load_tracker::Work;
use briarhall_policy::peers::HeldConfiguration;
use briarhall_policy::peers::Incarnation;
use briarhall_policy::peers::PeerUpdate;
use briarhall_policy::peers::Peers;
use briarhall_policy::peers::Presence;
use briarhall_policy::prompt_queue::PromptQueue;
use briarhall_policy::prompt_queue::QueuedPrompt;
use briarhall_policy::replica_limits::LimitObservation;
use briarhall_policy::replica_limits::LimitedSends;
use briarhall_policy::replica_limits::MAX_TURN;
use briarhall_policy::replica_limits::ReplicaLimits;
use briarhall_policy::replicas::Replicas;
use briarhall_policy::resumption::List;
use briarhall_policy::shares_in_shortage::Asking;
use briarhall_policy::shares_in_shortage::Claim;
use briarhall_policy::shares_in_shortage::Lane;
use briarhall_policy::shares_in_shortage::NoRoom;
use briarhall_policy::shares_in_shortage::SharesInShortage;
use briarhall_policy::shares_in_shortage::ShortageReport;
use briarhall_policy::shares_in_shortage::Usage;
use briarhall_policy::shares_in_shortage::Verdict;
use briarhall_policy::store_readers::StoreReading;
use briarhall_types::StorePosition;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 7_340))
}

fn presence() -> Presence {
    Presence {
        vm: "vm-1".into(),
        incarnation: 0xdead_beef_0000_0001,
        sequence: 400,
        gossip_address: address(1),
        relay_address: address(2),
        client_address: address(3),
        zone: "a".into(),
        ready: true,
        stopping: false,
        millicores: 250,
        requests_per_s: 5,
        places_requests: true,
        cut_off: false,
        configuration: HeldConfiguration {
            version: 12,
            position: StorePosition {
                era: 1,
                revision: 80,
            },
        },
        replicas: StorePosition {
            era: 1,
            revision: 500,
        },
        store: Some(StoreReading {
            advertised: true,
            answer_age_ms: Some(400),
        }),
    }
}

fn cold_report() -> ColdReport {
    ColdReport {
        observations: vec![
            ColdObservation {
                replica: 7,
                left_ms: 2_400,
                age_ms: 30,
            };
            2
        ],
        sends: vec![
            LimitedSends {
                replica: 7,
                count: 3,
                age_ms: 70,
            };
            3
        ],
    }
}

/// Guards against bytes for cold replicas where there is nothing to tell of them, and
/// against a report that is lost on the way.
#[test]
fn a_heartbeat_carries_cold_replicas_only_where_there_are_any() {
    let with = heartbeat();
    let without = Heartbeat {
        cold: ColdReport::default(),
        ..heartbeat()
    };
    let (long, short) = (with.encode(), without.encode());
    assert!(long.starts_with(&short) && long.len() > short.len());
    assert_eq!(Heartbeat::decode(&long).as_ref(), Ok(&with));
    assert_eq!(Heartbeat::decode(&short).as_ref(), Ok(&without));
    // The bytes are those of before: gateways of an earlier version read as many.
    let (_, rest) = postcard::take_from_bytes::<Heartbeat>(&long).expect("a heartbeat");
    assert_eq!(rest, &long[short.len()..]);
    // A kind of a later version is ignored.
    let unknown = [short.as_slice(), &[200, 2, 1, 3]].concat();
    assert_eq!(Heartbeat::decode(&unknown).as_ref(), Ok(&without));
}

fn heartbeat() -> Heartbeat {
    let work = Work {
        replica: 7,
        phase: Phase::Prefill,
        prefill_ms: 120.5,
        kv_tokens: 45_000,
        pause_ms: Some(250),
        age_ms: 40,
    };
    let queued_prompt = QueuedPrompt {
        id: 9,
        service: 3,
        priority: 1,
        slack_ms: -40.0,
        overdue_in_ms: 700.0,
        prefill_ms: 3_800.0,
    };
    let crash = Observation {
        fingerprint: 0x1234_5678_9abc_def0,
        outcome: ObservedOutcome::Crashed { ran_ms: 30 },
        age_ms: 900,
    };
    let crashing_part = PartObservation {
        part: 0xfedc_ba98_7654_3210,
        outcome: PartOutcome::Crashed {
            replica: 0x1234_5678,
            ran_ms: 30,
        },
        age_ms: 900,
    };
    Heartbeat {
        presence: presence(),
        interval_ms: 300,
        in_flight: vec![work; 3],
        queued_prompts: vec![queued_prompt; 2],
        observations: vec![crash; 2],
        crashing_parts: vec![crashing_part; 4],
        failed: vec![FailedRequests {
            replica: 7,
            penalty: 2.0,
        }],
        leaving: vec![ReplicaProcess {
            id: "i-1".into(),
            started_unix_ms: Some(1_700_000_000_000),
        }],
        limits: vec![
            LimitObservation {
                replica: 7,
                per_s: Some(1.8),
                age_ms: 90,
            };
            2
        ],
        limited_sends: vec![
            LimitedSends {
                replica: 7,
                count: 2,
                age_ms: 40,
            };
            3
        ],
        evacuations: Some(EvacuationReport {
            position: StorePosition {
                era: 1,
                revision: 90,
            },
            zones: vec!["a".into(), "b".into()],
            retained: vec![RetainedZone {
                zone: "c".into(),
                left_ms: 3_000,
            }],
        }),
        known: vec![address(4), address(5)],
        cold: cold_report(),
        shortage: None,
        delivery: None,
    }
}

/// Returns a heartbeat of a gateway that knows of a shortage.
fn heartbeat_in_shortage() -> Heartbeat {
    let claim = Claim {
        service: 3,
        lane: Lane::Slots,
        priority: 1,
        organisation: 11,
    };
    let usage = Usage {
        claim,
        used_ms: 4_000.0,
        wanted_ms: 9_000.0,
        waiting_ms: 400.0,
        waiting: 2,
        large: 1,
    };
    let no_room = NoRoom {
        service: 3,
        lane: Lane::Slots,
        priority: 1,
        age_ms: 20,
    };
    Heartbeat {
        shortage: Some(ShortageReport {
            no_room: vec![no_room],
            usage: vec![usage; 3],
        }),
        ..heartbeat()
    }
}

/// Guards against other bytes of heartbeats where there is no shortage.
#[test]
fn a_heartbeat_without_a_shortage_has_only_its_lists() {
    let all = heartbeat();
    let without_sections = Heartbeat {
        cold: ColdReport::default(),
        ..heartbeat()
    };
    let lists = (
        all.presence,
        all.interval_ms,
        all.in_flight,
        all.queued_prompts,
        all.observations,
        all.crashing_parts,
        all.failed,
        all.leaving,
        all.limits,
        all.limited_sends,
        all.evacuations,
        all.known,
    );
    let bytes = postcard::to_stdvec(&lists).expect("it can be encoded");
    assert_eq!(without_sections.encode(), bytes);
}

/// Guards against gateways that reject a section which only later builds know, or lose
/// what follows it.
#[test]
fn an_unknown_section_is_skipped() {
    let plain = heartbeat().encode();
    let section = postcard::to_stdvec(&(200_u8, [1_u8, 2, 3].as_slice()));
    let mut bytes = plain.clone();
    bytes.extend(section.expect("it can be encoded"));
    bytes.extend(&heartbeat_in_shortage().encode()[plain.len()..]);
    let decoded = Heartbeat::decode(&bytes);
    assert_eq!(decoded.as_ref(), Ok(&heartbeat_in_shortage()));
}

#[test]
fn a_shortage_report_decodes_to_what_was_encoded() {
    let sent = heartbeat_in_shortage();
    assert_eq!(Heartbeat::decode(&sent.encode()).as_ref(), Ok(&sent));
    apply(sent);
}

/// Guards against a report whose numbers end a division or a duration.
#[test]
fn a_shortage_report_with_impossible_numbers_is_rejected() {
    for ms in [f32::NAN, f32::INFINITY, -1.0] {
        let mut invalid = heartbeat_in_shortage();
        let report = invalid.shortage.as_mut().expect("it has one");
        report.usage[1].waiting_ms = ms;
        assert!(Heartbeat::decode(&invalid.encode()).is_err(), "{ms}");
    }
}

/// Largest datagram of the test, about what one can carry.
const MAX_BYTES: usize = 32 * 1024;

/// Returns prompts that wait, the last ones being sent first.
fn queued_prompts(count: u32) -> Vec<QueuedPrompt> {
    let last = heartbeat().queued_prompts[0];
    let prompts = (0..count).map(|n| QueuedPrompt {
        id: u64::MAX - u64::from(n),
        overdue_in_ms: 1_000.0,
        slack_ms: 1_000.0,
        prefill_ms: 10_000.0 - f32::from(u16::try_from(n).expect("few")),
        ..last
    });
    prompts.collect()
}

/// Guards against a gateway that counts as down because so many long prompts wait at
/// it that its heartbeats do not fit in a datagram.
#[test]
fn a_heartbeat_with_many_queued_prompts_fits() {
    let mut cut = heartbeat();
    cut.queued_prompts = queued_prompts(3_000);
    let (all, works) = (cut.queued_prompts.clone(), cut.in_flight.clone());
    let (bytes, left_out) = cut.encode_within(MAX_BYTES);
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    let received = Heartbeat::decode(&bytes).expect("it is valid");
    assert_eq!(received.presence, heartbeat().presence);
    assert_eq!(received.in_flight, works, "shorter lists stay whole");
    let kept = received.queued_prompts.len();
    assert_eq!(kept + left_out, all.len());
    assert!(kept >= all.len() / 8, "no more is left out than needed");
    let mut first = all;
    first.reverse();
    assert_eq!(received.queued_prompts, first[..kept], "those sent first");
}

/// Guards against a heartbeat that is cut although it fits.
#[test]
fn a_heartbeat_that_fits_stays_whole() {
    let mut whole = heartbeat();
    assert_eq!(whole.encode_within(MAX_BYTES), (heartbeat().encode(), 0));
}

/// Guards against a heartbeat of which no part fits: what it says of the gateway
/// itself is sent in any case.
#[test]
fn a_heartbeat_loses_its_lists_before_its_presence() {
    let mut cut = heartbeat();
    cut.encode_within(0);
    let empty = Heartbeat {
        in_flight: Vec::new(),
        queued_prompts: Vec::new(),
        observations: Vec::new(),
        crashing_parts: Vec::new(),
        failed: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        limited_sends: Vec::new(),
        known: Vec::new(),
        cold: ColdReport::default(),
        ..heartbeat()
    };
    assert_eq!(cut, empty);
}

/// Damage to an encoded heartbeat.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Damage {
    Flip { at: u16, bits: u8 },
    Cut { at: u16 },
    Double { at: u16 },
    Insert { at: u16, byte: u8 },
}

fn damaged(damages: &[Damage]) -> Vec<u8> {
    let mut bytes = heartbeat_in_shortage().encode();
    for damage in damages {
        let within = |at: u16| usize::from(at) % bytes.len().max(1);
        match *damage {
            _ if bytes.is_empty() => {}
            Damage::Flip { at, bits } => {
                let at = within(at);
                bytes[at] ^= bits;
            }
            Damage::Cut { at } => bytes.truncate(within(at)),
            Damage::Double { at } => {
                let tail = bytes[within(at)..].to_vec();
                bytes.extend(tail);
            }
            Damage::Insert { at, byte } => bytes.insert(within(at), byte),
        }
    }
    bytes
}

/// Applies a heartbeat to all state that it changes, and makes the queries that
/// a placement makes.
fn apply(heartbeat: Heartbeat) {
    let now = Instant::now();
    let (mut load_tracker, mut prompt_queue) = (LoadTracker::default(), PromptQueue::default());
    let (mut peers, mut crashes) = (Peers::default(), Crashes::default());
    let Heartbeat {
        presence,
        interval_ms,
        in_flight,
        queued_prompts,
        observations,
        crashing_parts,
        failed,
        leaving,
        limits,
        limited_sends,
        evacuations,
        known,
        cold,
        shortage,
        delivery,
    } = heartbeat;
    let vm = presence.vm.clone();
    let incarnation = presence.incarnation;
    peers.add_addresses(&known, now);
    let interval = Duration::from_millis(interval_ms.into());
    assert_eq!(peers.update(presence, interval, now), PeerUpdate::Up);
    let services = queued_prompts
        .iter()
        .map(|prompt| prompt.service)
        .collect::<Vec<_>>();
    let fingerprints = observations
        .iter()
        .map(|observation| observation.fingerprint)
        .collect::<Vec<_>>();
    load_tracker.set_peer_work(vm.clone(), in_flight, now);
    prompt_queue.set_peer_prompts(vm, queued_prompts, now);
    crashes.set_peer_observations(incarnation, &observations, now);
    let mut suspected = CrashingParts::default();
    suspected.set_peer_observations(incarnation, &crashing_parts, now);
    let mut health = Health::default();
    health.apply_report(&failed, now);
    let mut replicas = Replicas::default();
    for replica in &leaving {
        let event = replicas.record_leaving(replica, HeardBy::Peer);
        assert_eq!(event, None, "the registry lists no such replica");
    }
    ColdReplicas::default().apply_report(incarnation, &cold, now);
    if let Some(report) = &delivery {
        apply_delivery(report, now);
    }
    if let Some(report) = shortage {
        apply_shortage(incarnation, report, now);
    }
    let mut replica_limits = ReplicaLimits::default();
    replica_limits.apply_observations(&limits, now);
    replica_limits.set_peer_sends(incarnation, &limited_sends, now);
    let later = now + Duration::from_millis(5);
    let mut evacuated = Evacuations::new(true);
    if let Some(report) = &evacuations {
        evacuated.apply_report(report, now);
    }
    evacuated.expire(later);
    let longest = Duration::from_secs(5);
    for zone in evacuations.iter().flat_map(|report| &report.zones) {
        let left = evacuated.expected_left(zone, longest, later);
        assert!(left.is_none_or(|left| left <= longest), "{left:?}");
    }
    for limit in &limits {
        let left = replica_limits.time_left(limit.replica, 0.5, later, || MAX_TURN);
        let bound = Duration::from_secs(11);
        assert!(left.is_none_or(|left| left <= bound), "{left:?}");
        // Not its own, so it tells nobody.
        replica_limits.sent(limit.replica, later);
    }
    assert!(replica_limits.own_observations(later).is_empty());
    replica_limits.remove_expired(later);
    assert!(health.penalty(&"i-1".into(), later).is_finite());
    for load in load_tracker.loads(later).values() {
        assert!(load.backlog_ms.is_finite(), "{load:?}");
    }
    for service in services {
        let work = prompt_queue.work_ms(service);
        let wait = Duration::try_from_secs_f64(work / 1_000.0);
        assert!(wait.is_ok(), "a wait of {work} ms");
    }
    for fingerprint in fingerprints {
        // Either result is right: a request is blocked only after three
        // crashes in a row, and these observations are arbitrary.
        let _blocked = crashes.is_blocked(fingerprint, later);
    }
    crashes.remove_expired(later);
    for observation in &crashing_parts {
        // Either result is right here too.
        let _refused = suspected.refusal(&[observation.part], later);
    }
    suspected.remove_expired(later);
    assert!(suspected.own(later).len() <= crashing_parts.len());
}

#[test]
fn damaged_heartbeats_are_rejected_or_harmless() {
    briarhall_fuzz::histories::<Damage, _>(1..6, |damages| {
        if let Ok(heartbeat) = Heartbeat::decode(&damaged(damages)) {
            apply(heartbeat);
        }
    });
}

#[test]
fn other_datagrams_are_rejected_or_harmless() {
    briarhall_fuzz::values::<Vec<u8>, _>(|bytes| {
        if let Ok(heartbeat) = Heartbeat::decode(bytes) {
            apply(heartbeat);
        }
    });
}

/// Encoded by build `c3eb081`.
const EARLIER_BYTES: &[u8] = include_bytes!("data/heartbeat-c3eb081.bin");

/// Guards against heartbeats that gateways of the earlier build read as others, or cannot
/// read, while VMs are replaced one after the other. A section may follow what they know.
#[test]
fn gateways_of_the_earlier_build_read_a_heartbeat() {
    let bytes = heartbeat_in_shortage().encode();
    assert!(bytes.starts_with(EARLIER_BYTES), "{bytes:?}");
}

/// Guards against heartbeats of the earlier build that are read as others.
#[test]
fn a_heartbeat_of_the_earlier_build_is_read() {
    let heartbeat = Heartbeat::decode(EARLIER_BYTES);
    assert_eq!(heartbeat.as_ref(), Ok(&heartbeat_in_shortage()));
}

/// Time in which changes must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
const REVISION: StorePosition = StorePosition {
    era: 1,
    revision: 300,
};

/// Returns a heartbeat of a gateway that has read one list of the store.
fn heartbeat_with_delivery() -> Heartbeat {
    let now = Instant::now();
    let mut deliveries = Deliveries::new(&[List::Configuration, List::Replicas], IN_FORCE);
    deliveries.record_check(REVISION, false, now, now);
    deliveries.record_complete(List::Replicas, REVISION);
    Heartbeat {
        delivery: deliveries.report(now),
        ..heartbeat()
    }
}

/// The section of that report as the build that added it encodes it.
const DELIVERY_SECTION: [u8; 11] = [3, 9, 1, 172, 2, 0, 1, 1, 1, 172, 2];

/// Guards against reports of the store's last position that later builds encode otherwise,
/// while VMs are replaced one after the other. It follows all that earlier builds know.
#[test]
fn a_report_of_the_last_position_keeps_its_bytes() {
    let with = heartbeat_with_delivery();
    let bytes = with.encode();
    let section = bytes.strip_prefix(heartbeat().encode().as_slice());
    assert_eq!(section, Some(DELIVERY_SECTION.as_slice()));
    assert_eq!(Heartbeat::decode(&bytes), Ok(with));
}

/// Guards against lists of a later build that keep a gateway from reading the others.
#[test]
fn a_report_of_a_list_that_is_unknown_is_read() {
    let mut bytes = heartbeat().encode();
    let mut section = DELIVERY_SECTION;
    let number_of_list = &mut section[7];
    *number_of_list = 9;
    bytes.extend(section);
    let delivery = Heartbeat::decode(&bytes).expect("a heartbeat").delivery;
    let delivery = delivery.expect("a report");
    let now = Instant::now();
    let mut deliveries = Deliveries::new(&[List::Replicas], IN_FORCE);
    deliveries.record_complete(List::Replicas, StorePosition::default());
    deliveries.apply_report(&delivery, |_| true, now);
    let due = deliveries.due(1, now + IN_FORCE, &mut rand::rng());
    assert!(due.is_empty(), "its time begins now: {due:?}");
    let due = deliveries.due(1, now + IN_FORCE * 2, &mut rand::rng());
    assert_eq!(due.len(), 1, "the list is not known to be complete");
}

/// Applies a report of the store's last position, and makes the queries that a gateway makes.
fn apply_delivery(report: &DeliveryReport, now: Instant) {
    let lists = [List::Configuration, List::Replicas, List::Evacuations];
    let mut deliveries = Deliveries::new(&lists, IN_FORCE);
    deliveries.record_complete(List::Replicas, REVISION);
    deliveries.apply_report(report, |_| true, now);
    let _either = deliveries.confirms(8, now, &mut rand::rng());
    let due = deliveries.due(2, now + IN_FORCE, &mut rand::rng());
    assert!(due.iter().all(|(_, limit)| *limit <= IN_FORCE), "{due:?}");
    assert!(deliveries.report(now).is_some());
}

#[test]
fn a_heartbeat_decodes_to_what_was_encoded() {
    let sent = heartbeat();
    assert_eq!(Heartbeat::decode(&sent.encode()).as_ref(), Ok(&sent));
    apply(sent);
}

/// Defines a test for each time that a heartbeat must not have.
macro_rules! impossible_times {
    ($($name:ident: $ms:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                let mut invalid_work = heartbeat();
                invalid_work.in_flight[1].prefill_ms = $ms;
                assert!(Heartbeat::decode(&invalid_work.encode()).is_err());
                let mut invalid_prompt = heartbeat();
                invalid_prompt.queued_prompts[1].prefill_ms = $ms;
                assert!(Heartbeat::decode(&invalid_prompt.encode()).is_err());
            }
        )+
    };
}

impossible_times! {
    not_a_number: f32::NAN,
    infinite: f32::INFINITY,
    negative: -1.0,
    thirty_years: 1.0e12,
}

/// Applies a shortage report, and makes the queries that a placement makes.
fn apply_shortage(incarnation: Incarnation, report: ShortageReport, now: Instant) {
    let mut shares = SharesInShortage::default();
    let claims = report.usage.iter().map(|usage| usage.claim);
    let claims = claims.collect::<Vec<_>>();
    shares.apply_report(incarnation, report, now);
    for claim in claims {
        let asking = Asking {
            claim,
            large: false,
            free: 0,
            slots: 100,
            capacity: None,
            patience: Some(Duration::from_millis(600)),
        };
        if let Verdict::Refuse(_, wait) = shares.verdict(&asking, now) {
            assert!(wait <= Duration::from_mins(1), "{wait:?}");
        }
        let back = shares.next_return(&asking, 200.0, Duration::ZERO, 14, now);
        assert!(back <= Duration::from_mins(1), "{back:?}");
    }
}
