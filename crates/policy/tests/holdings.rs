//! Who may hold more of a process, and who goes for it.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::capacity::Capacity;
use briarhall_policy::capacity::ProcessLimits;
use briarhall_policy::holdings::Decision;
use briarhall_policy::holdings::HolderKey;
use briarhall_policy::holdings::Holdings;
use briarhall_policy::holdings::Pool;
use briarhall_policy::holdings::Stage;
use briarhall_policy::holdings::group_tag;

const MIB: usize = 1024 * 1024;
/// The smallest machine of the users' deployments.
const SMALLEST: ProcessLimits = ProcessLimits {
    memory_bytes: 160 * MIB,
    descriptors: 4_100,
};
const POOL: usize = 1_000;
const LONG: Duration = Duration::from_secs(5);

fn address(n: u8) -> IpAddr {
    IpAddr::from(Ipv4Addr::new(10, 0, 0, n))
}

/// Holdings with one pool of bodies, and a clock.
struct Bodies {
    holdings: Holdings,
    now: Instant,
}

impl Bodies {
    fn new() -> Self {
        Self {
            holdings: Holdings::new([(Pool::Bodies, POOL)]),
            now: Instant::now(),
        }
    }

    /// Adds a client that sends a request of which so much has come.
    fn sender(&mut self, from: u8, amount: usize) -> HolderKey {
        let key = self.holdings.join(address(from), self.now);
        self.holdings.set_stage(key, Stage::Sending, self.now);
        assert_eq!(self.take(key, amount), Decision::Granted);
        key
    }

    fn take(&mut self, key: HolderKey, amount: usize) -> Decision {
        self.holdings.take(key, Pool::Bodies, amount, self.now)
    }
}

/// Guards against clients that stop short and keep the room of those who have just come.
#[test]
fn a_client_that_sends_nothing_on_goes_for_one_that_has_just_come() {
    let mut bodies = Bodies::new();
    let stalled = bodies.sender(1, 600);
    bodies.now += LONG;
    let sending = bodies.sender(1, 400);
    let new = bodies.sender(1, 0);
    assert_eq!(bodies.take(new, 100), Decision::Evict(stalled));
    assert_eq!(bodies.take(new, 100), Decision::Wait);
    bodies.holdings.leave(stalled);
    assert_eq!(bodies.take(new, 100), Decision::Granted);
    assert_eq!(bodies.holdings.used(Pool::Bodies), 500);
    bodies.holdings.leave(sending);
    bodies.holdings.leave(new);
    assert_eq!(bodies.holdings.used(Pool::Bodies), 0);
}

/// Guards against clients that end each other's requests while all of them make progress.
#[test]
fn clients_that_make_progress_do_not_go_for_others() {
    let mut bodies = Bodies::new();
    let senders = [bodies.sender(1, 500), bodies.sender(2, 500)];
    for _ in 0..10 {
        bodies.now += Duration::from_millis(100);
        for key in senders {
            bodies.holdings.progress(key, 2_000, bodies.now);
        }
        let new = bodies.sender(3, 0);
        assert_eq!(bodies.take(new, 1), Decision::Refused);
        bodies.holdings.leave(new);
    }
}

/// Guards against a byte now and then that counts as progress.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    let mut bodies = Bodies::new();
    let dripping = bodies.sender(1, 1_000);
    for _ in 0..50 {
        bodies.now += Duration::from_millis(100);
        bodies.holdings.progress(dripping, 1, bodies.now);
    }
    let new = bodies.sender(2, 0);
    assert_eq!(bodies.take(new, 1), Decision::Evict(dripping));
}

/// Guards against one address that crowds out the rest: of clients alike, its go first.
#[test]
fn the_address_that_holds_most_goes_first() {
    let mut bodies = Bodies::new();
    let alone = bodies.sender(1, 200);
    let crowd = [(); 4].map(|()| bodies.sender(2, 200));
    bodies.now += LONG;
    let new = bodies.sender(3, 0);
    let Decision::Evict(gone) = bodies.take(new, 100) else {
        panic!("somebody goes");
    };
    assert!(crowd.contains(&gone));
    assert_ne!(gone, alone);
}

/// Guards against the same of an organisation that comes from many addresses.
#[test]
fn the_organisation_that_holds_most_goes_first() {
    let mut bodies = Bodies::new();
    let service = group_tag("s");
    let alone = bodies.sender(1, 200);
    bodies
        .holdings
        .set_request(alone, Some(group_tag("small")), service);
    let crowd = [2, 3, 4, 5].map(|from| bodies.sender(from, 135));
    for key in crowd {
        bodies
            .holdings
            .set_request(key, Some(group_tag("large")), service);
    }
    bodies.now += LONG;
    let new = bodies.sender(6, 0);
    let Decision::Evict(gone) = bodies.take(new, 500) else {
        panic!("somebody goes");
    };
    assert!(crowd.contains(&gone));
}

/// Guards against answers that are cut, or requests that may have run, for newcomers.
#[test]
fn whoever_waits_for_an_answer_does_not_go() {
    let mut bodies = Bodies::new();
    let waiting = bodies.sender(1, 1_000);
    bodies
        .holdings
        .set_stage(waiting, Stage::Waiting, bodies.now);
    bodies.now += LONG;
    let new = bodies.sender(2, 0);
    assert_eq!(bodies.take(new, 1), Decision::Refused);
}

/// Guards against a service whose silent replicas hold the requests of all others back.
#[test]
fn a_service_leaves_room_for_others() {
    let mut bodies = Bodies::new();
    let mut waiting = 0;
    loop {
        let key = bodies.sender(1, 0);
        bodies.holdings.set_request(key, None, group_tag("silent"));
        if bodies.take(key, 100) != Decision::Granted {
            break;
        }
        bodies.holdings.set_stage(key, Stage::Waiting, bodies.now);
        waiting += 100;
    }
    assert!((POOL / 2..POOL).contains(&waiting), "{waiting}");
    let other = bodies.sender(1, 0);
    bodies.holdings.set_request(other, None, group_tag("other"));
    assert_eq!(bodies.take(other, POOL - waiting), Decision::Granted);
}

/// Guards against a limit that a single request inside the limits meets.
#[test]
fn a_single_request_may_have_all() {
    let mut bodies = Bodies::new();
    let key = bodies.sender(1, 0);
    bodies.holdings.set_request(key, None, group_tag("s"));
    assert_eq!(bodies.take(key, POOL), Decision::Granted);
    assert_eq!(bodies.take(key, 1), Decision::Refused);
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Join { from: u8 },
    Take { who: u8, amount: u8 },
    GiveBack { who: u8 },
    Stage { who: u8, stage: u8 },
    Progress { who: u8, bytes: u16 },
    Wait { ms: u16 },
}

/// What is used is the sum of what was granted, never more than there is; nobody goes who
/// waits for an answer, and nobody goes for itself.
#[test]
fn holdings_add_up() {
    briarhall_fuzz::histories::<Step, _>(1..80, |steps| {
        let mut bodies = Bodies::new();
        let mut granted = Vec::<(HolderKey, usize, Stage)>::new();
        for step in steps {
            let pick = |who: u8, len: usize| usize::from(who) % len.max(1);
            let len = granted.len();
            match *step {
                Step::Join { from } => {
                    granted.push((bodies.sender(from % 4, 0), 0, Stage::Sending));
                }
                Step::Wait { ms } => bodies.now += Duration::from_millis(ms.into()),
                _ if len == 0 => {}
                Step::Take { who, amount } => {
                    let n = pick(who, len);
                    match bodies.take(granted[n].0, amount.into()) {
                        Decision::Granted => granted[n].1 += usize::from(amount),
                        Decision::Evict(gone) => {
                            assert_ne!(gone, granted[n].0);
                            let at = granted.iter().position(|(key, ..)| *key == gone);
                            let (key, held, stage) = granted.remove(at.expect("a client"));
                            assert!(held > 0 && stage != Stage::Waiting);
                            bodies.holdings.leave(key);
                        }
                        Decision::Wait => panic!("nobody who was told to go is left"),
                        Decision::Refused => {}
                    }
                }
                Step::GiveBack { who } => {
                    let (key, held, _) = &mut granted[pick(who, len)];
                    bodies.holdings.give_back(*key, Pool::Bodies, *held);
                    *held = 0;
                }
                Step::Stage { who, stage } => {
                    let stages = [Stage::Idle, Stage::Sending, Stage::Waiting, Stage::Reading];
                    let (key, _, stage_now) = &mut granted[pick(who, len)];
                    *stage_now = stages[pick(stage, stages.len())];
                    bodies.holdings.set_stage(*key, *stage_now, bodies.now);
                }
                Step::Progress { who, bytes } => {
                    let key = granted[pick(who, len)].0;
                    bodies.holdings.progress(key, bytes.into(), bodies.now);
                }
            }
            let held = granted.iter().map(|(key, held, _)| (*key, *held));
            let held = held.collect::<HashMap<_, _>>();
            let used = bodies.holdings.used(Pool::Bodies);
            assert_eq!(used, held.values().sum::<usize>());
            assert!(used <= POOL);
        }
    });
}

macro_rules! within_limits {
    ($($name:ident: $memory_mb:literal, $descriptors:literal;)*) => {
        $(
            /// Guards against parts that add up to more than there is: the buffers that a
            /// connection and a request may fill, bodies, answers, and an eighth for the
            /// process; and descriptors, with one to a replica for each request.
            #[test]
            fn $name() {
                let limits = ProcessLimits {
                    memory_bytes: $memory_mb * MIB,
                    descriptors: $descriptors,
                };
                let capacity = Capacity::of(limits);
                let Capacity { clients, peers, directory, health_checks, metrics, .. } = capacity;
                let connections = clients + peers + directory + health_checks + metrics;
                let bytes = connections * 64 * 1024 + capacity.requests * 128 * 1024
                    + capacity.body_bytes + capacity.answer_bytes;
                assert!(bytes + limits.memory_bytes / 8 <= limits.memory_bytes + MIB);
                let descriptors = connections + capacity.requests;
                assert!(capacity.requests <= clients, "{capacity:?}");
                assert!(descriptors * 10 <= (limits.descriptors - 200) * 9, "{descriptors}");
            }
        )*
    };
}

within_limits! {
    parts_of_the_smallest_machine_fit: 160, 4_100;
    parts_of_a_machine_fit: 260, 4_200;
    parts_of_a_larger_machine_fit: 512, 8_192;
    parts_of_a_machine_with_few_descriptors_fit: 512, 400;
}

/// Guards against parts that clients inside the pages' limits could meet in calm: ten
/// requests of the default largest body together, and hundreds of connections.
#[test]
fn the_smallest_machine_has_room_for_a_calm_day() {
    let capacity = Capacity::of(SMALLEST);
    assert!(capacity.clients >= 400, "{capacity:?}");
    assert!(capacity.requests >= 250, "{capacity:?}");
    assert!(capacity.body_bytes * 3 / 4 >= 5 * 4 * MIB, "{capacity:?}");
}
