//! Runs a case of the review: `review-case NAME`, in the root of the repository.

mod client;
mod foreign_entry;
mod gateway;
mod held_answers;
mod http;
mod late_streams;
mod load;
mod replica;
mod site;
mod slow_readers;
mod store;
mod unreadable_id;

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use crate::site::Record;

/// A case has to end within 120 seconds.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What a case starts from.
pub struct Case {
    pub record: Record,
    pub scratch: PathBuf,
    pub program: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let mut args = env::args().skip(1);
    let (Some(name), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: review-case NAME RECORD");
        exit(2);
    };
    let scratch = env::temp_dir().join(format!("review-case-{}", std::process::id()));
    let trouble = env::var("TROUBLE").is_ok_and(|value| value == "0");
    let case = Case {
        record: Record::create(&PathBuf::from(record)).expect("record.txt is written"),
        scratch: scratch.clone(),
        program: PathBuf::from("target/release/briarhall-gateway"),
        trouble: !trouble,
    };
    case.record
        .line(&format!("case {name}, disruption: {}", case.trouble));
    let finish = move |code: i32, scratch: PathBuf| -> ! {
        gateway::end_all();
        if env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_dir_all(scratch);
        }
        exit(code)
    };
    let kept = scratch.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        finish(2, kept);
    });
    let run = move || match name.as_str() {
        "foreign-entry" => foreign_entry::run(&case).map(|verdict| (case, verdict)),
        "late-streams" => late_streams::run(&case).map(|verdict| (case, verdict)),
        "unreadable-id" => unreadable_id::run(&case).map(|verdict| (case, verdict)),
        "slow-readers" => slow_readers::run(&case).map(|verdict| (case, verdict)),
        "held-answers" => held_answers::run(&case).map(|verdict| (case, verdict)),
        _ => Err(format!("unknown case {name}").into()),
    };
    let code = match thread::spawn(move || run().map_err(|e| e.to_string())).join() {
        Ok(Ok((case, verdict))) => match verdict {
            Verdict::Held => {
                case.record.line("the rule held");
                println!("held");
                0
            }
            Verdict::Broken => {
                case.record.line("the rule was broken");
                println!("broken");
                1
            }
            Verdict::NotRun(why) => {
                case.record.line(&format!("could not run: {why}"));
                println!("could not run: {why}");
                2
            }
        },
        Ok(Err(e)) => {
            eprintln!("could not run: {e}");
            2
        }
        Err(_panic) => 2,
    };
    finish(code, scratch);
}
