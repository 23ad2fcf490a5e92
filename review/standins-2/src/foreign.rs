//! Entries of another writer lie among those of the replicas: valid JSON with other fields, each
//! within the size that an object may have. They name no replica to use, and the others hold.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Call;
use crate::http::answer_head;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Machine;
use crate::site::Options;
use crate::site::Site;
use crate::site::serve_replica;

const REPLICAS: usize = 3;
const MACHINES: usize = 3;
/// Entries of the other writer, and the bytes of each: `value_bytes` is 1,048,576.
const ENTRIES: usize = 24;
const ENTRY_BYTES: usize = 1_040_000;
/// When traffic starts after the machines do, and how long it lasts.
const STARTS_AFTER: Duration = Duration::from_secs(3);
const LASTS: Duration = Duration::from_secs(15);
/// Time until the platform starts a process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Ends of processes that make the day count 0, on so many machines.
const ENDS: usize = 3;
const ENDS_ON: usize = 2;
const PER_S: u64 = 30;
const WORK: Duration = Duration::from_millis(30);

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"balance","host":"{HOST}","path_prefix":"/balance/","kind":"idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"app","attempts":2,"anonymous":false,"resumable":false}}],
"services":[{{"name":"app","health_path":"/healthz","max_conns":100}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Returns the content of an entry: counts of something else.
fn content() -> String {
    let mut text = String::with_capacity(ENTRY_BYTES + 16);
    text.push_str(r#"{"counts":[0"#);
    while text.len() < ENTRY_BYTES {
        text.push_str(",0");
    }
    text.push_str("]}");
    text
}

/// Runs a machine's gateway as the platform does: a process that exceeds the machine's memory
/// is killed, and each that has ended is started again.
fn run(
    site: &Site,
    name: &str,
    machine: &Machine,
    limit_kb: u64,
    ended: &AtomicBool,
    ends: &AtomicUsize,
) {
    while !ended.load(Ordering::Relaxed) {
        let gateway = match machine.start() {
            Ok(gateway) => gateway,
            Err(e) => panic!("{e}"),
        };
        site.record.add(&format!("{name} starts"));
        while !ended.load(Ordering::Relaxed) {
            let peak = gateway.peak_kb();
            if peak.is_none_or(|kb| kb > limit_kb) {
                gateway.kill();
                ends.fetch_add(1, Ordering::Relaxed);
                let line = match peak {
                    Some(kb) => format!(
                        "{name} has held {kb} kB of {limit_kb} kB: killed, as the platform does"
                    ),
                    None => format!("{name} has ended by itself"),
                };
                site.record.add(&line);
                thread::sleep(RESTART_AFTER);
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let site = Arc::new(Site::start(&configuration()));
    for n in 0..REPLICAS {
        let address = site.replica_address();
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let id = format!("i-{n}");
        site.register(&id, "app", address, 1);
        let record = Arc::clone(&site.record);
        serve_replica(listener, move |req, to| {
            if req.path() == "/healthz" {
                let head = "HTTP/1.1 200 OK\r\nReplica-Id: ";
                write!(to, "{head}{id}\r\nContent-Length: 0\r\n\r\n")?;
                return Ok(true);
            }
            record.add(&format!("{id} runs {}", req.id()));
            thread::sleep(WORK);
            let head = answer_head("200 OK", req.id(), &id, "Content-Length: 5\r\n");
            to.write_all((head + "text\n").as_bytes())?;
            Ok(true)
        });
    }
    let options = Options::default();
    let limit_kb = options.memory_mb * 1024;
    let ended = AtomicBool::new(false);
    let mut machines = Vec::new();
    for n in 1..=MACHINES {
        let name = format!("front-a-{n}");
        let machine = site.machine(&name, options, BTreeMap::new())?;
        machines.push((name, machine, AtomicUsize::new(0)));
    }
    if trouble {
        let content = content();
        for n in 0..ENTRIES {
            let name = format!("counts-{n:02}");
            site.store.put("servers", &name, &content);
        }
        let bytes = content.len();
        let line = format!("{ENTRIES} entries of another writer lie there, of {bytes} bytes each");
        site.record.add(&line);
    }
    let outcomes = Mutex::new(BTreeMap::<String, usize>::new());
    thread::scope(|scope| {
        for (name, machine, ends) in &machines {
            let (site, ended) = (&site, &ended);
            scope.spawn(move || run(site, name, machine, limit_kb, ended, ends));
        }
        thread::sleep(STARTS_AFTER);
        let began = Instant::now();
        let mut n = 0;
        while began.elapsed() < LASTS {
            let to = machines[n as usize % MACHINES].1.front;
            let (site, outcomes) = (&site, &outcomes);
            scope.spawn(move || {
                let id = format!("balance-{n:04}");
                let call = Call {
                    to,
                    method: "GET",
                    path: "/balance/1",
                    id: &id,
                    deadline_ms: 1_000,
                    headers: &[],
                    body: "",
                };
                let outcome = call.send();
                let (word, took) = (outcome.word(), outcome.took.as_millis());
                let line = format!("{id} is answered: {word}, after {took} ms");
                site.record.add(&line);
                *outcomes.lock().unwrap().entry(word).or_default() += 1;
            });
            n += 1;
            let next = began + Duration::from_millis(1_000 * n / PER_S);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        ended.store(true, Ordering::Relaxed);
    });
    let ends = machines
        .iter()
        .map(|(_, _, ends)| ends.load(Ordering::Relaxed));
    let ends = ends.collect::<Vec<_>>();
    let outcomes = outcomes.into_inner().unwrap();
    let summary =
        format!("gateways were killed for their memory {ends:?} times; requests: {outcomes:?}");
    site.record.add(&summary);
    println!("{summary}");
    site.record.write(folder);
    let often = ends.iter().filter(|ends| **ends >= ENDS).count();
    Ok(if often >= ENDS_ON {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
