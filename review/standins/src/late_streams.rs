//! Machines are stopped and started in turn while clients stream.

use std::error::Error;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::client::End;
use crate::client::Request;
use crate::gateway::Gateway;
use crate::gateway::SIGKILL;
use crate::gateway::SIGTERM;
use crate::load;
use crate::load::Directory;
use crate::replica::Replica;
use crate::replica::Runs;
use crate::replica::Work;
use crate::site;
use crate::site::ms;

/// The bound `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// A request that is sent no later than this after SIGTERM may be at work at the end.
const EXCUSED_UP_TO: Duration = Duration::from_secs(3);
/// Pause between two stops: `gap_s`.
const GAP: Duration = Duration::from_secs(1);
/// Time after which the platform starts an ended process again.
const RESTART: Duration = Duration::from_millis(500);
/// A stream of the sheet's short kind: 38 events, each well within the pause of 250 ms.
const CLIENTS: u32 = 9;
/// Time between two streams of one client.
const INTERVAL: Duration = Duration::from_millis(1_200);
const EVENTS: u64 = 38;
const PAUSE: Duration = Duration::from_millis(105);

pub fn run(case: &Case) -> Result<Verdict, Box<dyn Error>> {
    let record = &case.record;
    let (machines, store) = site::start(case.scratch.clone(), case.program.clone())?;
    let runs = Runs::default();
    let zones = ["hall-a", "hall-b"];
    for n in 0..6_u8 {
        let id = format!("i-fleet-{n}");
        let work = Work::Stream {
            events: EVENTS,
            pause: PAUSE,
        };
        let replica = Replica::start(&id, machines.address(50 + n, 8080), work, &runs)?;
        let zone = zones[usize::from(n) % zones.len()];
        store.put("servers", &id, &replica.entry("fleet", zone, "ready"));
    }
    let mut gateways = Vec::new();
    for (n, zone) in zones.iter().enumerate() {
        gateways.push(Gateway::start(&machines, 1 + n as u8, &[1, 2], zone)?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", gateway.name)));
        }
    }
    record.line("all gateways are ready");
    thread::sleep(ms(1_000));
    let fronts = gateways.iter().map(Gateway::front).collect::<Vec<_>>();
    let directories = gateways.iter().map(Gateway::directory).collect::<Vec<_>>();
    let start = Instant::now();
    let clients = (0..CLIENTS).map(|client| {
        // Some clients keep an answer of the directory three times as long as it says.
        let keeps = if client % 3 == 0 { 3 } else { 1 };
        let directory = Arc::new(Directory::new(directories.clone(), "hall-a", keeps));
        let first = start + INTERVAL * client / CLIENTS;
        load::steady(&directory, first, start + ms(22_000), INTERVAL, move |n| {
            let id = format!("chat-{client}-{n}");
            let mut req = Request::new("POST", "/chat/1", id, Duration::from_secs(10));
            req.headers = vec![
                ("Model", "m".to_owned()),
                ("Token-Count", "5000,1300".to_owned()),
                ("Prompt-Prefix", format!("a1:40,{client}{n:x}ff:4960")),
            ];
            req.body = vec![b'x'; 1_200];
            req
        })
    });
    let clients = clients.collect::<Vec<_>>();
    // The whole roll stays clear of the first and the last seconds.
    let roll = start + ms(4_000);
    let mut stops = vec![None::<(Instant, Instant)>; gateways.len()];
    if case.trouble {
        let mut waiting = (0..gateways.len()).collect::<Vec<_>>();
        let mut stopping = Vec::new();
        let mut restarts = Vec::new();
        while !(waiting.is_empty() && stopping.is_empty() && restarts.is_empty()) {
            let now = Instant::now();
            if let Some(&next) = waiting.first()
                && now >= roll + GAP * next as u32
            {
                gateways[next].signal(SIGTERM);
                record.line(&format!("SIGTERM to {}", gateways[next].name));
                stops[next] = Some((now, now));
                stopping.push((next, now));
                waiting.remove(0);
            }
            stopping.retain(|(n, at)| {
                if let Some(status) = gateways[*n].ended() {
                    record.line(&format!("{} has ended: {status}", gateways[*n].name));
                    stops[*n] = Some((*at, Instant::now()));
                    restarts.push((*n, Instant::now() + RESTART));
                    return false;
                }
                if now >= *at + GRACE {
                    record.line(&format!("SIGKILL to {}", gateways[*n].name));
                    gateways[*n].signal(SIGKILL);
                }
                true
            });
            let due = restarts.iter().position(|(_, at)| now >= *at);
            if let Some((n, _)) = due.map(|at| restarts.remove(at)) {
                gateways[n].run()?;
                record.line(&format!("{} is started again", gateways[n].name));
            }
            thread::sleep(ms(5));
        }
    }
    let outcomes = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default());
    let mut outcomes = outcomes.collect::<Vec<_>>();
    outcomes.sort_by_key(|o| o.sent);
    let runs = runs.lock().unwrap().clone();
    let (mut broken, mut served) = (0, 0);
    for o in &outcomes {
        let ran = runs.get(&o.id).map_or(0, Vec::len);
        let machine = fronts.iter().position(|front| *front == o.to);
        let stop = machine.and_then(|n| stops[n]);
        let after = stop.map(|(term, _)| o.sent.saturating_duration_since(term).as_secs_f64());
        let (sent, ended) = (record.s(o.sent), record.s(o.ended));
        let mut verdict = "";
        match (&o.end, stop) {
            (End::Whole(200), _) => served += 1,
            (End::Whole(_) | End::NotConnected(_), _) | (_, None) => {}
            (End::CutShort(..) | End::NoAnswer(_), Some((term, _))) => {
                // LOST: passed on to a replica, and the connection ends without a complete
                // answer, from SIGTERM until 1 s after `grace_s`; sent later than 3 s after
                // SIGTERM; neither deadline nor timeout reached; the replica did not break off.
                let in_stop = o.sent >= term && o.ended <= term + GRACE + ms(1_000);
                let excused = o.sent <= term + EXCUSED_UP_TO;
                if ran > 0 && in_stop && !excused && o.ended < o.sent + Duration::from_secs(10) {
                    broken += 1;
                    verdict = "LOST";
                }
            }
            (End::Deadline, _) => {}
        }
        record.line(&format!(
            "  {} to {} sent {sent:.3} ({:.3} s after its SIGTERM) ended {ended:.3} {:?} runs {ran} bytes {} {verdict}",
            o.id, o.to, after.unwrap_or(-1.0), o.end, o.body.len()
        ));
    }
    record.line(&format!(
        "{served} of {} streams whole, {broken} lost",
        outcomes.len()
    ));
    if served == 0 {
        return Ok(Verdict::NotRun("no stream was served".to_owned()));
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
