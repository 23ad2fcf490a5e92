//! An entry of another writer among the replicas, and then a final fault.

use std::error::Error;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client::End;
use crate::client::Outcome;
use crate::client::Request;
use crate::gateway::Gateway;
use crate::gateway::SIGKILL;
use crate::load;
use crate::load::Directory;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::replica::Work;
use crate::site;
use crate::site::ms;

/// The bound `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// The entry of the other writer: bytes that are no text, as a program writes them into
/// JSON that keeps undecodable bytes as lone surrogates.
const ENTRY: &str =
    r#"{"service":"app","addr":"\udcff\udcfe\udc80","zone":"hall-a","state":"ready"}"#;

pub fn run(case: &Case) -> Result<Verdict, Box<dyn Error>> {
    let record = &case.record;
    let (machines, store) = site::start(case.scratch.clone(), case.program.clone())?;
    let runs = Runs::default();
    let zones = ["hall-a", "hall-b", "hall-c"];
    for (n, zone) in zones.iter().enumerate() {
        let id = format!("i-app-{n}");
        let address = machines.address(50 + n as u8, 8080);
        let work = Work::Answer {
            after: ms(30),
            bytes: 800,
        };
        let replica = Replica::start(&id, address, work, &runs)?;
        store.put("servers", &id, &replica.entry("app", zone, "ready"));
    }
    let mut gateways = Vec::new();
    for (n, zone) in zones.iter().enumerate() {
        gateways.push(Gateway::start(&machines, 1 + n as u8, &[1, 2, 3], zone)?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", gateway.name)));
        }
    }
    record.line("all gateways are ready");
    let directory = gateways.iter().map(Gateway::directory).collect();
    let directory = Arc::new(Directory::new(directory, "hall-a", 1));
    let make = |name: &'static str| {
        move |n: usize| {
            Request::new(
                "GET",
                "/status/1",
                format!("{name}-{n}"),
                Duration::from_secs(3),
            )
        }
    };
    let start = Instant::now();
    let before = load::steady(&directory, start, start + ms(4_000), ms(50), make("before"));
    let before = report(
        case,
        "before the final fault",
        before.join().unwrap_or_default(),
    );
    if case.trouble {
        let text = std::env::var("ENTRY").unwrap_or_else(|_| ENTRY.to_owned());
        store.put("servers", "i-foreign", &text);
        record.line(&format!(
            "another writer adds an entry to the list of replicas: {text}"
        ));
    }
    let start = Instant::now();
    let with = load::steady(&directory, start, start + ms(4_000), ms(50), make("with"));
    let with = report(
        case,
        "with the entry, before the final fault",
        with.join().unwrap_or_default(),
    );
    for gateway in &gateways {
        gateway.signal(SIGKILL);
    }
    record.line("final fault: all gateways are killed (kill_all)");
    thread::sleep(ms(1_000));
    for gateway in &mut gateways {
        let _ended = gateway.ended();
        gateway.run()?;
    }
    let back = Instant::now();
    record.line("all gateways are started again");
    let from = back + RECOVER;
    let after = load::steady(&directory, from, from + ms(6_000), ms(50), make("after"));
    let after = report(
        case,
        "later than recover_s",
        after.join().unwrap_or_default(),
    );
    for gateway in &gateways {
        let ready = gateway.is_ready();
        record.line(&format!("{} says that it is ready: {ready}", gateway.name));
        let failed = gateway
            .log()
            .lines()
            .filter(|line| line.contains("store_failed"))
            .count();
        record.line(&format!(
            "{} has logged {failed} failed calls of the store",
            gateway.name
        ));
        if let Some(line) = gateway
            .log()
            .lines()
            .rfind(|line| line.contains("store_failed"))
        {
            record.line(&format!("the last: {line}"));
        }
    }
    record.line(&format!(
        "served: {before:.2} before, {with:.2} with the entry, {after:.2} after"
    ));
    if before < 0.25 || with < 0.25 {
        return Ok(Verdict::NotRun(
            "less than a quarter was served before the final fault".to_owned(),
        ));
    }
    Ok(if after < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Records what became of requests, and returns the share that was served.
fn report(case: &Case, what: &str, outcomes: Vec<Outcome>) -> f64 {
    let served = outcomes.iter().filter(|o| o.end == End::Whole(200)).count();
    let share = served as f64 / outcomes.len().max(1) as f64;
    case.record.line(&format!(
        "{what}: {served} of {} requests served",
        outcomes.len()
    ));
    for o in &outcomes {
        let (sent, ended) = (case.record.s(o.sent), case.record.s(o.ended));
        case.record.line(&format!(
            "  {} to {} sent {sent:.3} ended {ended:.3} {:?}",
            o.id, o.to, o.end
        ));
    }
    share
}
