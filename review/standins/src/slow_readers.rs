//! A machine is stopped while clients read their answers slowly.

use std::error::Error;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client;
use crate::client::End;
use crate::client::Request;
use crate::gateway::Gateway;
use crate::gateway::SIGKILL;
use crate::gateway::SIGTERM;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::replica::Work;
use crate::site;
use crate::site::ms;

/// The bound `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// Length of an answer: less than what the manifest allows for a request's body.
const BYTES: usize = 4_000_000;
/// Bytes a second that a client reads.
const READ_PER_S: usize = 500_000;
const CLIENTS: usize = 8;

pub fn run(case: &Case) -> Result<Verdict, Box<dyn Error>> {
    let record = &case.record;
    let (machines, store) = site::start(case.scratch.clone(), case.program.clone())?;
    let runs = Runs::default();
    for n in 0..3_u8 {
        let id = format!("i-app-{n}");
        let work = Work::Answer {
            after: ms(30),
            bytes: BYTES,
        };
        let replica = Replica::start(&id, machines.address(50 + n, 8080), work, &runs)?;
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
    thread::sleep(ms(3_500));
    let front = gateways[0].front();
    let clients = (0..CLIENTS).map(|n| {
        let mut req = Request::new(
            "POST",
            "/order/1",
            format!("order-{n}"),
            Duration::from_secs(10),
        );
        req.body = vec![b'x'; 600];
        req.read_per_s = Some(READ_PER_S);
        thread::spawn(move || client::send(front, &req))
    });
    let clients = clients.collect::<Vec<_>>();
    thread::sleep(ms(500));
    let term = Instant::now();
    if case.trouble {
        gateways[0].signal(SIGTERM);
        record.line(&format!("SIGTERM to {}", gateways[0].name));
        while term.elapsed() < GRACE {
            if let Some(status) = gateways[0].ended() {
                record.line(&format!("{} has ended: {status}", gateways[0].name));
                break;
            }
            thread::sleep(ms(5));
        }
        gateways[0].signal(SIGKILL);
    }
    let outcomes = clients.into_iter().filter_map(|client| client.join().ok());
    let outcomes = outcomes.collect::<Vec<_>>();
    let runs = runs.lock().unwrap().clone();
    let mut broken = 0;
    for o in &outcomes {
        let ran = runs.get(&o.id).map_or(0, Vec::len);
        let (sent, ended) = (record.s(o.sent), record.s(o.ended));
        // LOST: the process has read the whole request and passed it on, and the connection
        // ends without a complete answer, after SIGTERM and before deadline and timeout.
        // The replica has long written its answer.
        let lost = matches!(o.end, End::CutShort(..) | End::NoAnswer(_)) && ran > 0;
        broken += usize::from(lost);
        let written = runs.get(&o.id).and_then(|of_id| of_id.first()?.ended);
        let written = written.map_or(-1.0, |(at, _)| record.s(at));
        let verdict = if lost { "LOST" } else { "" };
        record.line(&format!("  {} sent {sent:.3} answered by its replica {written:.3} ended {ended:.3} {:?} runs {ran} bytes {} of {BYTES} {verdict}", o.id, o.end, o.body.len()));
    }
    if outcomes
        .iter()
        .all(|o| matches!(o.end, End::NotConnected(_) | End::Deadline))
    {
        return Ok(Verdict::NotRun("no request was served".to_owned()));
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
