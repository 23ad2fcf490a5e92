//! Stand-ins for the cases 6 to 10 of the review, and the cases themselves.
//!
//! `review-standins-2 CASE FOLDER` plays a case against the gateway of the deploy file and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod crash;
mod detour;
mod endless;
mod foreign;
mod http;
mod link;
mod lost_watch;
mod resume;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args = std::env::args().collect::<Vec<_>>();
    if let [_, part, address, id] = args.as_slice()
        && part == "replica"
    {
        return exit_code(crash::replica(address, id));
    }
    let [_, case, folder, ..] = args.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match case.as_str() {
        "crash" => crash::play(&folder, trouble),
        "detour" => detour::play(&folder, trouble),
        "foreign" => foreign::play(&folder, trouble),
        "lost-watch" => lost_watch::play(&folder, trouble),
        "resume" => resume::play(&folder, trouble),
        "endless" => endless::play(&folder, trouble),
        _ => Err(format!("no case {case}")),
    };
    exit_code(played)
}

fn exit_code(played: Result<Verdict, String>) -> ExitCode {
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("cannot run: {e}");
            ExitCode::from(2)
        }
    }
}
