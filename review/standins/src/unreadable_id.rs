//! An entry of another writer whose id cannot be read: a damaged copy of the entry of a
//! replica that has ended, and whose address a replica of another service gets.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client::End;
use crate::client::Request;
use crate::gateway::Gateway;
use crate::load;
use crate::load::Directory;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::replica::Work;
use crate::site;
use crate::site::ms;

/// The id as it stands in the store's JSON: control bytes, which are no text.
const ID: &str = r"i-\u0000\u00033f91";
/// The bound `reuse_after_s`.
const REUSE_AFTER: Duration = Duration::from_secs(2);

pub fn run(case: &Case) -> Result<Verdict, Box<dyn Error>> {
    let record = &case.record;
    let (machines, store) = site::start(case.scratch.clone(), case.program.clone())?;
    let runs = Runs::default();
    let work = Work::Answer {
        after: ms(300),
        bytes: 800,
    };
    for n in 0..3_u8 {
        let id = format!("i-app-{n}");
        let replica = Replica::start(&id, machines.address(50 + n, 8080), work.clone(), &runs)?;
        store.put("servers", &id, &replica.entry("app", "hall-a", "ready"));
    }
    let mut gateways = Vec::new();
    for (n, zone) in ["hall-a", "hall-b"].iter().enumerate() {
        gateways.push(Gateway::start(&machines, 1 + n as u8, &[1, 2], zone)?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", gateway.name)));
        }
    }
    record.line("all gateways are ready");
    let reused = machines.address(60, 8080);
    if case.trouble {
        // The damaged copy of the entry of `i-app-3`, which has ended.
        let id = std::env::var("ID").unwrap_or_else(|_| ID.to_owned());
        let entry = Replica::entry_at(reused, "app", "hall-a", "ready");
        store.put("servers", &id, &entry);
        record.line(&format!("another writer adds the entry {id}: {entry}"));
    }
    std::thread::sleep(REUSE_AFTER + ms(500));
    let fleet = Replica::start("i-fleet-0", reused, work, &runs)?;
    store.put(
        "servers",
        "i-fleet-0",
        &fleet.entry("fleet", "hall-a", "ready"),
    );
    record.line(&format!(
        "i-fleet-0 of service fleet starts at {reused} and registers"
    ));
    std::thread::sleep(ms(3_000));
    let directories = gateways.iter().map(Gateway::directory).collect();
    let directory = Arc::new(Directory::new(directories, "hall-a", 1));
    let start = Instant::now();
    let clients = load::steady(&directory, start, start + ms(6_000), ms(25), |n| {
        let mut req = Request::new(
            "POST",
            "/order/1",
            format!("order-{n}"),
            Duration::from_secs(3),
        );
        req.body = vec![b'x'; 600];
        req
    });
    let outcomes = clients.join().unwrap_or_default();
    let runs = runs.lock().unwrap().clone();
    let (mut wrong, mut served) = (0, 0);
    for o in &outcomes {
        let at = runs.get(&o.id).map_or(&[][..], Vec::as_slice);
        let at = at
            .iter()
            .map(|run| run.replica.as_str())
            .collect::<Vec<_>>();
        // ROUTE: the manifest sends `/order/` to service `app` alone.
        let by_fleet = at.contains(&"i-fleet-0");
        wrong += usize::from(by_fleet);
        served += usize::from(o.end == End::Whole(200));
        let verdict = if by_fleet {
            "ROUTE: run by service fleet"
        } else {
            ""
        };
        let (sent, ended) = (record.s(o.sent), record.s(o.ended));
        record.line(&format!(
            "  {} to {} sent {sent:.3} ended {ended:.3} {:?} ran at {at:?} {verdict}",
            o.id, o.to, o.end
        ));
    }
    for gateway in &gateways {
        let log = gateway.log();
        let lines = log
            .lines()
            .filter(|line| line.contains("header_unsendable"));
        record.line(&format!(
            "{} logged header_unsendable {} times",
            gateway.name,
            lines.count()
        ));
    }
    record.line(&format!(
        "{served} of {} requests served, {wrong} run by a service that no manifest names for them",
        outcomes.len()
    ));
    if served == 0 {
        return Ok(Verdict::NotRun("no request was served".to_owned()));
    }
    Ok(if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
