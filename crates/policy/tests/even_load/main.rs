//! Ways of choosing an engine, compared on a small model of engines with passes and of
//! gateways that learn of each other's work late.

mod fleet;
mod load;
mod ways;

use crate::fleet::Outcome;
use crate::fleet::run;
use crate::load::Demand;
use crate::load::LONGEST;
use crate::load::MEDIUM;
use crate::load::Pattern;
use crate::load::float;
use crate::load::short;
use crate::ways::WAYS;
use crate::ways::Way;

/// Seeds of the runs over which figures are averaged.
const SEEDS: [u64; 4] = [11, 12, 13, 14];

/// Short prompts alone, with more than half of the slots in use.
fn peak(gateways: u64) -> Pattern {
    Pattern {
        engines: 78,
        gateways,
        ages_ms: (5, 300),
        demands: vec![short(280.0, 25)],
        slow_one_in: None,
        pace: 1.0,
        evacuated_one_in: None,
    }
}

/// The prompts of the first customer at its usual rates.
fn mixed() -> Pattern {
    Pattern {
        gateways: 13,
        ages_ms: (10, 40),
        demands: vec![short(114.0, 11), MEDIUM, LONGEST],
        ..peak(13)
    }
}

/// The same with answers so long that short prompts are in flight at most engines.
fn mixed_long_answers() -> Pattern {
    Pattern {
        demands: vec![short(114.0, 30), MEDIUM, LONGEST],
        ..mixed()
    }
}

/// Half as many of the longest prompts again.
fn surge_of_longest() -> Pattern {
    let longest = Demand {
        per_s: LONGEST.per_s * 1.5,
        ..LONGEST
    };
    Pattern {
        demands: vec![short(114.0, 30), MEDIUM, longest],
        ..mixed()
    }
}

/// Twice as many short prompts.
fn surge_of_short() -> Pattern {
    Pattern {
        demands: vec![short(228.0, 30), MEDIUM, LONGEST],
        ..mixed()
    }
}

/// Short prompts alone, where gateways hear of each other within a heartbeat and the
/// delay of a link between zones.
fn calm() -> Pattern {
    Pattern {
        ages_ms: (10, 40),
        ..peak(13)
    }
}

/// Short prompts alone, with most slots in use.
fn nearly_full() -> Pattern {
    Pattern {
        demands: vec![short(390.0, 25)],
        ..peak(86)
    }
}

/// A third of the engines becomes slow.
fn third_slow() -> Pattern {
    Pattern {
        demands: vec![short(190.0, 25)],
        slow_one_in: Some(3),
        pace: 2.0,
        ..peak(86)
    }
}

/// A third of the engines is evacuated.
fn third_evacuated() -> Pattern {
    Pattern {
        demands: vec![short(190.0, 25)],
        evacuated_one_in: Some(3),
        ..peak(86)
    }
}

fn patterns() -> Vec<(&'static str, Pattern)> {
    vec![
        ("9 gateways", peak(9)),
        ("86 gateways", peak(86)),
        ("350 gateways", peak(350)),
        ("a third slow by 2", third_slow()),
        ("a third evacuated", third_evacuated()),
        ("nearly full", nearly_full()),
        ("13 gateways in time", calm()),
        ("all lengths", mixed()),
        ("all lengths, long answers", mixed_long_answers()),
        ("surge of the longest", surge_of_longest()),
        ("surge of short", surge_of_short()),
    ]
}

/// Returns the means of a few runs.
fn mean_of(pattern: &Pattern, way: Way) -> Outcome {
    let runs = SEEDS.map(|seed| run(pattern, way, seed));
    let mean = |value: fn(&Outcome) -> f64| {
        runs.iter().map(value).sum::<f64>() / float(SEEDS.len() as u64)
    };
    Outcome {
        busiest: mean(|o| o.busiest),
        p99_ms: mean(|o| o.p99_ms),
        late: mean(|o| o.late),
        paused: mean(|o| o.paused),
        refused: mean(|o| o.refused),
        long_late: mean(|o| o.long_late),
    }
}

fn percent(part: f64) -> f64 {
    part * 100.0
}

fn print_row(name: &str, way: Way, o: &Outcome) {
    println!(
        "| {name} | {way:?} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} |",
        o.busiest,
        o.p99_ms,
        percent(o.late),
        percent(o.paused),
        percent(o.refused),
        percent(o.long_late)
    );
}

/// Prints the table of the design note (`--ignored --nocapture`).
#[test]
#[ignore = "prints the figures of the design note and checks nothing"]
fn print_table() {
    for (name, pattern) in patterns() {
        for way in WAYS {
            print_row(name, way, &mean_of(&pattern, way));
        }
    }
}

/// Most requests in flight at the busiest engine, relative to the mean, on a day without
/// a fault.
const MAX_BUSIEST: f64 = 1.4;
/// The same with a third of the engines slow or away.
const MAX_BUSIEST_AT_FAULTS: f64 = 2.0;

fn assert_busiest(pattern: &Pattern, bound: f64) {
    let outcome = mean_of(pattern, Way::Even);
    assert!(outcome.busiest <= bound, "{outcome:?}");
}

macro_rules! busiest {
    ($($(#[$doc:meta])* $name:ident: $pattern:expr, $bound:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            assert_busiest(&$pattern, $bound);
        })*
    };
}

busiest! {
    /// Pattern: a steady peak of short prompts, heartbeats without delay. All gateways
    /// take the engine that seemed least loaded.
    load_is_even_with_views_of_40_ms: calm(), MAX_BUSIEST;
    /// Pattern: the same with views of 5 to 300 ms.
    load_is_even_with_9_gateways: peak(9), MAX_BUSIEST;
    /// Pattern: the same, more gateways than prompts within the age of a view.
    load_is_even_with_86_gateways: peak(86), MAX_BUSIEST;
    /// Pattern: the same, most gateways place less than one prompt a second.
    load_is_even_with_350_gateways: peak(350), MAX_BUSIEST;
    /// Pattern: a third of the engines takes twice as long from one moment on. They
    /// fill up, since requests stay there for longer.
    load_is_even_with_a_third_slow: third_slow(), MAX_BUSIEST_AT_FAULTS;
    /// Pattern: a third of the engines is evacuated at a moment. Its load meets the
    /// engines that are next in the order.
    load_is_even_with_a_third_evacuated: third_evacuated(), MAX_BUSIEST_AT_FAULTS;
}

/// Pattern: short prompts fill most slots, so that an engine that several gateways take
/// at the same moment refuses some of them while others have room.
#[test]
fn full_engines_refuse_less_than_half_as_often() {
    let before = mean_of(&nearly_full(), Way::Today);
    let even = mean_of(&nearly_full(), Way::Even);
    assert!(even.refused * 2.0 <= before.refused, "{even:?}, {before:?}");
}

/// Pattern: short, medium and the longest prompts at the rates of a usual day. Parts of
/// longer prompts at engines where short prompts decode make their events late.
#[test]
fn short_prompts_are_in_time_beside_long_ones() {
    for pattern in [mixed(), mixed_long_answers()] {
        let outcome = mean_of(&pattern, Way::Even);
        assert!(outcome.late <= 0.01, "{outcome:?}");
        assert!(outcome.paused <= 0.01, "{outcome:?}");
        assert!(outcome.long_late <= 0.01, "{outcome:?}");
    }
}
