//! Many clients read long answers slowly, and the platform kills a process that holds
//! more memory than its machine gives it.

use std::error::Error;
use std::fs;
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
use crate::replica::Replica;
use crate::replica::Runs;
use crate::replica::Work;
use crate::site;
use crate::site::ms;

/// Length of an answer: less than what the manifest allows for a request's body.
const BYTES: usize = 4_000_000;
/// Bytes a second that a client reads.
const READ_PER_S: usize = 420_000;
/// Time between two requests.
const EVERY: Duration = Duration::from_millis(50);
/// Time for which requests are sent.
const LOAD: Duration = Duration::from_secs(30);
/// `memory_mb` of the settings.
const MEMORY_KB: u64 = 260 * 1_024;
/// Time after which the platform starts an ended process again.
const RESTART: Duration = Duration::from_millis(500);

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
    let fronts = gateways.iter().map(Gateway::front).collect::<Vec<_>>();
    let began = Instant::now();
    let slow = case.trouble;
    let clients = thread::spawn(move || {
        let mut sent = Vec::new();
        let mut n = 0;
        while began.elapsed() < LOAD {
            let mut req = Request::new(
                "GET",
                "/status/1",
                format!("status-{n}"),
                Duration::from_secs(10),
            );
            req.read_per_s = slow.then_some(READ_PER_S);
            let front = fronts[n % fronts.len()];
            sent.push(thread::spawn(move || client::send(front, &req)));
            n += 1;
            thread::sleep(EVERY);
        }
        sent.into_iter()
            .filter_map(|client| client.join().ok())
            .collect::<Vec<_>>()
    });
    let mut ends = vec![0_u32; gateways.len()];
    let mut peaks = vec![0_u64; gateways.len()];
    while began.elapsed() < LOAD + Duration::from_secs(10) {
        for (n, gateway) in gateways.iter_mut().enumerate() {
            let held = gateway.pid().and_then(resident_kb).unwrap_or(0);
            peaks[n] = peaks[n].max(held);
            if held > MEMORY_KB {
                ends[n] += 1;
                record.line(&format!(
                    "{} holds {held} kB, more than {MEMORY_KB}: killed ({} times)",
                    gateway.name, ends[n]
                ));
                gateway.signal(SIGKILL);
                while gateway.ended().is_none() {
                    thread::sleep(ms(5));
                }
                thread::sleep(RESTART);
                gateway.run()?;
            } else if let Some(status) = gateway.ended() {
                ends[n] += 1;
                record.line(&format!("{} has ended: {status}", gateway.name));
                gateway.run()?;
            }
        }
        thread::sleep(ms(20));
    }
    let outcomes = clients.join().unwrap_or_default();
    let count = |of: fn(&End) -> bool| outcomes.iter().filter(|o| of(&o.end)).count();
    record.line(&format!(
        "{} requests: {} whole, {} refused or failed, {} cut short, {} without an answer, {} not connected, {} out of time",
        outcomes.len(),
        count(|end| *end == End::Whole(200)),
        count(|end| matches!(end, End::Whole(status) if *status != 200)),
        count(|end| matches!(end, End::CutShort(..))),
        count(|end| matches!(end, End::NoAnswer(_))),
        count(|end| matches!(end, End::NotConnected(_))),
        count(|end| *end == End::Deadline),
    ));
    record.line(&format!(
        "most memory held: {peaks:?} kB; ended: {ends:?} times"
    ));
    for o in &outcomes {
        let (sent, ended) = (record.s(o.sent), record.s(o.ended));
        record.line(&format!(
            "  {} to {} sent {sent:.3} ended {ended:.3} {:?} bytes {}",
            o.id,
            o.to,
            o.end,
            o.body.len()
        ));
    }
    // Fault: processes end three times on two machines at least.
    Ok(if ends.iter().all(|ends| *ends >= 3) {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}
