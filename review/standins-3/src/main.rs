//! Stand-ins and checks of the cases of the third review: `review-case NAME`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_comments;
mod case_endless;
mod case_herd;
mod case_ticket;
mod http;
mod site;
mod store;

use std::process::exit;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = site::Record::create();
    let verdict = match name.as_str() {
        "comments" => case_comments::run(&record, trouble),
        "endless" => case_endless::run(&record, trouble),
        "herd" => case_herd::run(&record, trouble, case_herd::Scenario::Herd),
        "waves" => case_herd::run(&record, trouble, case_herd::Scenario::Waves),
        "ticket" => case_ticket::run(&record, trouble),
        _ => Verdict::NotRun(format!("no case is called `{name}`")),
    };
    match verdict {
        Verdict::Held => {
            record.line("the rule held");
            println!("the rule held");
        }
        Verdict::Broken => {
            record.line("the rule was broken");
            println!("the rule was broken");
            exit(1);
        }
        Verdict::NotRun(why) => {
            record.line(format!("the case could not run: {why}"));
            println!("the case could not run: {why}");
            exit(2);
        }
    }
}
