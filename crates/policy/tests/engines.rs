//! Invariants of the choice of engines and gangs, the deadline queue and the
//! retry budget.

use std::time::Duration;
use std::time::Instant;

use bolero::TypeGenerator;
use briarhall_policy::deadline_queue::DeadlineQueue;
use briarhall_policy::fleet::EndpointKey;
use briarhall_policy::fleet::Fleet;
use briarhall_policy::fleet::Requirements;
use briarhall_policy::gang;
use briarhall_policy::gang::EngineMemory;
use briarhall_policy::gang::GangError;
use briarhall_policy::policies::Policy;
use briarhall_policy::retry::RetryBudget;
use briarhall_types::EndpointKind;
use briarhall_types::EndpointRecord;
use briarhall_types::EndpointState;
use briarhall_types::LoadReport;
use briarhall_types::Objective;
use compact_str::CompactString;
use compact_str::format_compact;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ENGINES: u8 = 5;
const MODEL: &str = "harbour";

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    List {
        state: u8,
        absent: u8,
    },
    Report {
        engine: u8,
        queued: u16,
        kv_used: u32,
        draining: bool,
    },
    Send {
        kilotokens: u8,
        short_first: bool,
    },
    Fail {
        engine: u8,
    },
    End,
    Advance {
        millis: u16,
    },
}

fn record(engine: u8, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        name: format_compact!("engine-{engine}"),
        kind: EndpointKind::Engine,
        serves: CompactString::const_new(MODEL),
        address: ([127, 0, 0, 1], 9_000 + u16::from(engine)).into(),
        zone: CompactString::const_new("a"),
        state,
        kv_tokens: 400_000,
        prefill_rate: 100_000,
    }
}

fn requirements(kilotokens: u8, short_first: bool) -> Requirements {
    Requirements {
        serves: CompactString::const_new(MODEL),
        tokens: u64::from(kilotokens) * 1_000 + 500,
        max_tokens: 16,
        objective: if short_first {
            Objective::ShortSlowdown
        } else {
            Objective::FirstToken
        },
        exclude: Vec::new(),
    }
}

struct Simulation {
    fleet: Fleet,
    now: Instant,
    rng: SmallRng,
    draining: [bool; ENGINES as usize],
    failed_at: [Option<Instant>; ENGINES as usize],
    keys: Vec<briarhall_policy::fleet::AttemptKey>,
}

impl Simulation {
    fn apply(&mut self, op: Op) {
        match op {
            Op::List { state, absent } => {
                let listed = (0..ENGINES).filter(|n| absent >> n & 1 == 0);
                let records = listed.map(|n| {
                    let draining = state >> n & 1 == 1;
                    record(
                        n,
                        if draining {
                            EndpointState::Draining
                        } else {
                            EndpointState::Live
                        },
                    )
                });
                let records = records.collect::<Vec<_>>();
                for n in 0..ENGINES {
                    let live = records.iter().any(|r| {
                        r.name == format_compact!("engine-{n}") && r.state == EndpointState::Live
                    });
                    self.draining[usize::from(n)] = !live;
                }
                self.fleet.set_endpoints(records);
            }
            Op::Report {
                engine,
                queued,
                kv_used,
                draining,
            } => {
                let report = LoadReport {
                    queued_tokens: u64::from(queued),
                    kv_used: u64::from(kv_used % 400_000),
                    draining,
                    ..LoadReport::default()
                };
                let name = format_compact!("engine-{}", engine % ENGINES);
                self.fleet.report(&name, report, self.now);
            }
            Op::Send {
                kilotokens,
                short_first,
            } => self.send(&requirements(kilotokens, short_first)),
            Op::Fail { engine } => {
                let name = format_compact!("engine-{}", engine % ENGINES);
                let key = self
                    .fleet
                    .records()
                    .find(|(_, r)| r.name == name)
                    .map(|(key, _)| key);
                if let Some(key) = key {
                    self.fleet.failed(key, self.now);
                    self.failed_at[usize::from(engine % ENGINES)] = Some(self.now);
                }
            }
            Op::End => {
                if let Some(key) = self.keys.pop() {
                    self.fleet.ended(key);
                }
            }
            Op::Advance { millis } => self.now += Duration::from_millis(u64::from(millis % 2_000)),
        }
    }

    fn send(&mut self, requirements: &Requirements) {
        self.fleet.arrived(
            &requirements.serves,
            requirements.tokens,
            requirements.max_tokens,
            self.now,
        );
        if let Ok(choice) = self.fleet.choose(requirements, &mut self.rng, self.now) {
            self.check(choice.key, &choice.record);
            self.keys
                .push(self.fleet.sent(choice.key, requirements, self.now));
        }
        if let Ok(open_engines) = self.fleet.open_engines(requirements, self.now)
            && let Some(choice) = open_engines.best
        {
            assert!(open_engines.open > 0);
            self.check(choice.key, &choice.record);
        }
    }

    fn check(&self, key: EndpointKey, record: &EndpointRecord) {
        assert_eq!(
            self.fleet.record(key),
            Some(record),
            "the chosen engine is not listed"
        );
        let number = record
            .name
            .trim_start_matches("engine-")
            .parse::<usize>()
            .unwrap();
        assert!(
            !self.draining[number],
            "{} is draining or gone",
            record.name
        );
    }
}

#[test]
fn nothing_is_sent_to_a_draining_or_missing_engine() {
    briarhall_fuzz::histories(0..150, |ops: &[Op]| {
        let mut simulation = Simulation {
            fleet: Fleet::new(Policy::Lanes, Duration::from_millis(100)),
            now: Instant::now() + Duration::from_hours(1),
            rng: SmallRng::seed_from_u64(1),
            draining: [true; ENGINES as usize],
            failed_at: [None; ENGINES as usize],
            keys: Vec::new(),
        };
        for op in ops {
            simulation.apply(*op);
        }
    });
}

#[test]
fn gangs_hold_the_whole_prompt_within_each_engines_memory() {
    briarhall_fuzz::values::<(Vec<(u32, u32, bool)>, u32), _>(|(engines, tokens)| {
        let tokens = u64::from(tokens % 2_000_000) + 1;
        let memories = engines
            .iter()
            .enumerate()
            .map(|(n, (used, reserved, usable))| EngineMemory {
                key: EndpointKey::default(),
                name: format_compact!("engine-{n:03}"),
                capacity: 400_000,
                used: u64::from(used % 400_001),
                reserved: u64::from(reserved % 400_001),
                usable: *usable,
            });
        let memories = memories.collect::<Vec<_>>();
        match gang::choose(&memories, tokens) {
            Ok(parts) => {
                assert_eq!(parts.iter().map(|part| part.tokens).sum::<u64>(), tokens);
                assert!(parts.is_sorted_by(|a, b| a.name < b.name));
                for part in parts {
                    let memory = memories
                        .iter()
                        .find(|memory| memory.name == part.name)
                        .unwrap();
                    assert!(memory.usable);
                    assert!(memory.used + part.tokens <= memory.capacity);
                    assert!(memory.reserved + part.tokens <= memory.capacity / 2);
                }
            }
            Err(GangError::TooLarge) => {
                assert!(memories.len().min(16) as u64 * 200_000 < tokens);
            }
            Err(GangError::InsufficientMemory) => {}
        }
    });
}

#[test]
fn prompts_go_by_virtual_deadline_and_no_more_than_engines_are_open() {
    briarhall_fuzz::values::<(Vec<(u8, i16, bool)>, u8), _>(|(ops, open)| {
        let mut deadline_queue = DeadlineQueue::default();
        let mut model = std::collections::BTreeMap::new();
        for (key, deadline, enters) in ops {
            if *enters {
                deadline_queue.enter(*key, i64::from(*deadline), u64::from(*key));
                model.entry(*key).or_insert(i64::from(*deadline));
            } else {
                deadline_queue.leave(key);
                model.remove(key);
            }
        }
        let mut order = model
            .iter()
            .map(|(key, deadline)| (*deadline, *key))
            .collect::<Vec<_>>();
        order.sort_unstable();
        let open = usize::from(*open);
        for (position, (_, key)) in order.iter().enumerate() {
            assert_eq!(deadline_queue.is_among_first(key, open), position < open);
        }
        assert_eq!(
            deadline_queue.tokens(),
            model.keys().map(|key| u64::from(*key)).sum::<u64>()
        );
    });
}

/// Retries stay within what first attempts, time and the initial budget allow.
#[test]
fn retries_stay_within_their_budget() {
    briarhall_fuzz::histories(0..2_000, |ops: &[(bool, u8)]| {
        let mut now = Instant::now();
        let mut budget = RetryBudget::new(now);
        let (mut first, mut retries, mut seconds) = (0.0, 0.0, 0.0);
        for (is_first, millis) in ops {
            now += Duration::from_millis(u64::from(*millis));
            seconds += f64::from(*millis) / 1_000.0;
            if *is_first {
                budget.earn();
                first += 1.0;
            } else if budget.spend(now) {
                retries += 1.0;
            }
            assert!(retries <= 10.0 + first * 0.1 + seconds * 2.0 + 1e-6);
        }
    });
}
