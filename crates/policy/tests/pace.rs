//! The pace of replicas follows what their answers show, within a second.

use std::time::Duration;
use std::time::Instant;

use briarhall_policy::pace::Observation;
use briarhall_policy::pace::Pace;
use briarhall_policy::pace::ReportedLoad;
use briarhall_types::ReplicaId;
use briarhall_types::ServiceName;

/// Predicted time between two events, in milliseconds.
const PASS_MS: f64 = 64.0;

fn id() -> ReplicaId {
    ReplicaId::from("engine-1")
}

/// A replica whose passes are observed one after the other.
struct Engine {
    pace: Pace,
    now: Instant,
}

impl Engine {
    fn new() -> Self {
        Self {
            pace: Pace::default(),
            now: Instant::now(),
        }
    }

    /// Observes passes of one length for a time.
    fn run(&mut self, pass_ms: f64, time: Duration) -> &mut Self {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_secs_f64(pass_ms / 1_000.0);
            let observation = Observation::Time {
                predicted_ms: PASS_MS,
                seen_ms: pass_ms,
            };
            self.pace.observe(&id(), observation, self.now);
        }
        self
    }

    fn wait(&mut self, time: Duration) -> &mut Self {
        self.now += time;
        self
    }

    fn factor(&self) -> f64 {
        self.pace.factor(&id(), self.now)
    }
}

macro_rules! factors {
    ($($(#[$doc:meta])* $name:ident: $engine:expr, $least:expr, $most:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            let mut engine = Engine::new();
            let drive: fn(&mut Engine) = $engine;
            drive(&mut engine);
            let factor = engine.factor();
            assert!(($least..=$most).contains(&factor), "{factor}");
        })*
    };
}

const SECOND: Duration = Duration::from_secs(1);

factors! {
    /// A replica without answers must not be avoided.
    an_unknown_replica_works_as_predicted: |_| (), 1.0, 1.0;
    /// Rough predictions must not change the placement.
    a_small_deviation_is_no_change: |e| { e.run(75.0, SECOND); }, 1.0, 1.0;
    /// A replica that becomes slow must get less within a second.
    a_slow_replica_is_known_within_a_second:
        |e| { e.run(PASS_MS, SECOND * 3).run(PASS_MS * 3.0, SECOND); }, 2.9, 3.1;
    /// A replica that has recovered must get its share within a second.
    a_recovered_replica_is_known_within_a_second:
        |e| { e.run(PASS_MS * 3.0, SECOND * 3).run(PASS_MS, SECOND); }, 1.0, 1.0;
    /// A replica that gets nothing because it was slow must be tried again.
    a_pace_that_nothing_confirms_is_forgotten:
        |e| { e.run(PASS_MS * 3.0, SECOND).wait(SECOND * 5); }, 1.0, 1.0;
    /// A prompt that another gateway sent lengthens one pass, which shows nothing.
    one_long_pass_is_not_slow:
        |e| { e.run(PASS_MS, SECOND).run(400.0, Duration::from_millis(1)); }, 1.0, 1.0;
    /// A single late answer of an idle replica shows nothing either.
    one_late_answer_is_not_slow:
        |e| { e.run(400.0, Duration::from_millis(1)); }, 1.0, 1.0;
    /// Events that a network held back arrive together and must not look like speed.
    events_that_arrive_together_do_not_hide_a_slow_replica:
        |e| { e.run(PASS_MS * 3.0, SECOND).run(1.0, Duration::from_millis(3)); }, 2.8, 3.1;
    /// A pace must stay within bounds, so that the replica still gets a request now and
    /// then.
    a_pace_is_bounded: |e| { e.run(PASS_MS * 50.0, SECOND * 20); }, 1.0, 8.0;
}

/// A replica that refuses has more work than is known, for a moment.
#[test]
fn a_refusal_counts_for_a_moment() {
    let mut engine = Engine::new();
    engine.pace.observe(&id(), Observation::Refusal, engine.now);
    assert!(engine.factor() >= 1.5);
    engine.wait(SECOND);
    assert!((engine.factor() - 1.0).abs() < f64::EPSILON);
}

/// A replica that says that requests wait there has more work than is known.
#[test]
fn a_reported_queue_counts_until_it_is_gone() {
    let mut engine = Engine::new();
    let load = |waiting| {
        Observation::Load(ReportedLoad {
            running: 12,
            waiting,
            slots: 12,
        })
    };
    engine.pace.observe(&id(), load(12), engine.now);
    assert!(engine.factor() >= 2.0);
    engine.pace.observe(&id(), load(0), engine.now);
    assert!((engine.factor() - 1.0).abs() < f64::EPSILON);
}

/// Nothing predicts a plain service's calls but its other calls.
#[test]
fn a_plain_replica_is_slow_relative_to_its_service() {
    let mut pace = Pace::default();
    let service = ServiceName::from("app");
    let start = Instant::now();
    let mut now = start;
    for call in 0..200 {
        now += Duration::from_millis(20);
        let replica = ReplicaId::from(format!("app-{}", call % 8));
        let seen_ms = if call % 8 == 3 { 600.0 } else { 220.0 };
        pace.observe_call(&service, &replica, seen_ms, now);
    }
    let slow = pace.factor(&ReplicaId::from("app-3"), now);
    assert!(slow > 2.0, "{slow}");
    let others = pace.factor(&ReplicaId::from("app-4"), now);
    assert!((others - 1.0).abs() < f64::EPSILON, "{others}");
}
