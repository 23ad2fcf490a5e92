//! Replicas in trouble send one event that does not end, until the caller closes. The
//! gateway must not exceed the memory of its machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
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
use crate::http::Message;
use crate::http::Outcome;
use crate::http::answer_head;
use crate::http::write_chunk;
use crate::site::Gateway;
use crate::site::Options;
use crate::site::Site;
use crate::site::serve_replica;

/// As on the sheet of `tidewire-hq`.
const REPLICAS: usize = 21;
/// Of the service of calls.
const APP_REPLICAS: usize = 3;
/// Replicas in trouble: the largest share that the pages name for any trouble of answers.
const IN_TROUBLE: usize = 12;
const DEADLINE_MS: u64 = 10_000;
/// Streams and calls a second.
const STREAMS_PER_S: u64 = 60;
const CALLS_PER_S: u64 = 20;
const LASTS: Duration = Duration::from_secs(12);
/// Time to the first event, and that of a call, within what the sheet aims at.
const FIRST_EVENT: Duration = Duration::from_millis(250);
const CALL: Duration = Duration::from_millis(120);
/// Requests on kept connections to sound replicas that may be lost by the rule.
const MAY_BE_LOST: usize = 3;
/// Events of a sound stream, and the time between two.
const EVENTS: usize = 38;
const EVENT_MS: u64 = 120;
/// What a replica in trouble sends: this many blocks soon, then a few bytes now and then.
const BLOCKS: usize = 62;
const BLOCK_BYTES: usize = 16 * 1024;
const BLOCK_MS: u64 = 30;
const LATER_MS: u64 = 250;

fn configuration() -> String {
    let host = crate::site::HOST;
    let key = crate::site::KEY;
    format!(
        r#"{{"version":3,"routes":[{{"name":"ask","host":"{host}","path_prefix":"/ask/","kind":"streaming","timeout_ms":10000,"goal_ms":300,"gap_goal_ms":250,"priority":1,"service":"llm","attempts":2,"anonymous":false,"sticky":true,"resumable":false}},
{{"name":"topup","host":"{host}","path_prefix":"/topup/","kind":"non_idempotent","timeout_ms":1000,"goal_ms":200,"priority":2,"service":"app","attempts":1,"anonymous":false,"resumable":false}},
{{"name":"balance","host":"{host}","path_prefix":"/balance/","kind":"idempotent","timeout_ms":1000,"goal_ms":200,"priority":2,"service":"app","attempts":2,"anonymous":false,"resumable":false}}],
"services":[{{"name":"app","health_path":"/healthz","max_conns":520}},{{"name":"llm","health_path":"/healthz","max_conns":364,"engine":{{"slots":16,"kv_capacity":405000,"stride":34,"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["{key}"],"priority":1}}]}}"#
    )
}

fn health(id: &str, to: &mut TcpStream) -> io::Result<bool> {
    write!(
        to,
        "HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
    )?;
    Ok(true)
}

fn sound(id: &str, req: &Message, to: &mut TcpStream) -> io::Result<bool> {
    let rest = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    thread::sleep(FIRST_EVENT);
    to.write_all(answer_head("200 OK", req.id(), id, rest).as_bytes())?;
    for n in 1..=EVENTS {
        write_chunk(to, format!("id: {n}\ndata: {:065}\n\n", n).as_bytes())?;
        thread::sleep(Duration::from_millis(EVENT_MS));
    }
    to.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

fn endless(id: &str, req: &Message, to: &mut TcpStream) -> io::Result<bool> {
    let rest = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    thread::sleep(FIRST_EVENT);
    to.write_all(answer_head("200 OK", req.id(), id, rest).as_bytes())?;
    write_chunk(to, b"id: 1\ndata: ")?;
    let block = [b'x'; BLOCK_BYTES];
    for _ in 0..BLOCKS {
        write_chunk(to, &block)?;
        thread::sleep(Duration::from_millis(BLOCK_MS));
    }
    loop {
        write_chunk(to, &block[..16])?;
        thread::sleep(Duration::from_millis(LATER_MS));
    }
}

fn call(id: &str, req: &Message, to: &mut TcpStream) -> io::Result<bool> {
    thread::sleep(CALL);
    let rest = "Content-Type: text/plain\r\nContent-Length: 5\r\n";
    let head = answer_head("200 OK", req.id(), id, rest);
    to.write_all((head + "done\n").as_bytes())?;
    Ok(true)
}

/// What the replicas and the watch of the machine have seen.
#[derive(Debug, Default)]
struct Seen {
    /// Endless answers that are open.
    endless: AtomicUsize,
    /// Requests that sound replicas ran.
    at_sound: Mutex<BTreeSet<String>>,
    killed: AtomicBool,
    peak_kb: AtomicUsize,
    ended: AtomicBool,
}

/// Ends the process when it holds more than its machine has, as the platform does.
fn watch(site: &Site, gateway: &Gateway, limit_kb: u64, seen: &Seen) {
    let mut said = Instant::now();
    while !seen.ended.load(Ordering::Relaxed) {
        let now = gateway.memory_kb().unwrap_or(0);
        seen.peak_kb.fetch_max(now as usize, Ordering::Relaxed);
        let endless = seen.endless.load(Ordering::Relaxed);
        if said.elapsed() > Duration::from_secs(1) {
            said = Instant::now();
            let line = format!("the gateway holds {now} kB; {endless} endless answers are open");
            site.record.add(&line);
        }
        if now > limit_kb {
            gateway.kill();
            let line = format!(
                "the gateway holds {now} kB, more than {limit_kb} kB, with {endless} endless \
                 answers open: killed, as the platform does"
            );
            site.record.add(&line);
            seen.killed.store(true, Ordering::Relaxed);
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn start_replicas(site: &Arc<Site>, seen: &Arc<Seen>, trouble: bool) -> Result<(), String> {
    for n in 0..REPLICAS + APP_REPLICAS {
        let is_app = n >= REPLICAS;
        let address = site.replica_address();
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let id = format!("i-{n:02}");
        site.register(&id, if is_app { "app" } else { "llm" }, address, 1);
        // Spread over the fleet.
        let (before, after) = (n * IN_TROUBLE / REPLICAS, (n + 1) * IN_TROUBLE / REPLICAS);
        let is_in_trouble = trouble && !is_app && before != after;
        let (record, seen) = (Arc::clone(&site.record), Arc::clone(seen));
        serve_replica(listener, move |req, to| {
            if req.path() == "/healthz" {
                return health(&id, to);
            }
            if is_in_trouble {
                record.add(&format!("{id} runs {}: an event without end", req.id()));
                seen.endless.fetch_add(1, Ordering::Relaxed);
                let ended = endless(&id, &req, to);
                seen.endless.fetch_sub(1, Ordering::Relaxed);
                return ended;
            }
            record.add(&format!("{id} runs {}", req.id()));
            seen.at_sound.lock().unwrap().insert(req.id().to_owned());
            if is_app {
                call(&id, &req, to)
            } else {
                sound(&id, &req, to)
            }
        });
    }
    Ok(())
}

/// Sends one request on a connection that has carried a short call before.
fn send(to: SocketAddr, id: &str, is_stream: bool) -> Outcome {
    let first_id = format!("{id}-first");
    let first = Call {
        to,
        method: "GET",
        path: "/balance/1",
        id: &first_id,
        deadline_ms: 1_000,
        headers: &[],
        body: "",
    };
    let call = if is_stream {
        Call {
            method: "POST",
            path: "/ask/1",
            id,
            deadline_ms: DEADLINE_MS,
            headers: &[
                ("Model", "m"),
                ("Token-Count", "4960,1300"),
                ("Prompt-Prefix", "5c1e07a2:40,91bd3f06:4920"),
            ],
            body: "a question",
            ..first.clone()
        }
    } else {
        Call {
            method: "POST",
            path: "/topup/1",
            id,
            body: "an order",
            ..first.clone()
        }
    };
    call.send_on_kept(&first)
}

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let site = Arc::new(Site::start(&configuration()));
    let seen = Arc::new(Seen::default());
    start_replicas(&site, &seen, trouble)?;
    let options = Options {
        memory_mb: 160,
        max_fds: 4_100,
        cpu_share: 0.12,
    };
    let gateway = Arc::new(site.gateway("front-a-1", options, BTreeMap::new())?);
    let watching = {
        let (site, gateway, seen) = (Arc::clone(&site), Arc::clone(&gateway), Arc::clone(&seen));
        thread::spawn(move || watch(&site, &gateway, options.memory_mb * 1024, &seen))
    };
    let began = Instant::now();
    let outcomes = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    let per_s = STREAMS_PER_S + CALLS_PER_S;
    let mut n = 0;
    while began.elapsed() < LASTS && !seen.killed.load(Ordering::Relaxed) {
        let is_stream = n * STREAMS_PER_S / per_s != (n + 1) * STREAMS_PER_S / per_s;
        let (site, seen, to) = (Arc::clone(&site), Arc::clone(&seen), gateway.front);
        let (outcomes, lost) = (Arc::clone(&outcomes), Arc::clone(&lost));
        let id = format!("{}-{n:04}", if is_stream { "ask" } else { "topup" });
        callers.push(thread::spawn(move || {
            let outcome = send(to, &id, is_stream);
            let word = outcome.word();
            let took = outcome.took.as_millis();
            site.record
                .add(&format!("{id} is answered: {word}, after {took} ms"));
            // Within its time, so the client has not left.
            let in_time = took
                < if is_stream {
                    u128::from(DEADLINE_MS)
                } else {
                    1_000
                };
            if outcome.answer.is_none() && in_time && seen.at_sound.lock().unwrap().contains(&id) {
                lost.lock().unwrap().push(id);
            }
            *outcomes.lock().unwrap().entry(word).or_default() += 1;
        }));
        n += 1;
        let next = began + Duration::from_millis(1_000 * n / per_s);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller has panicked")?;
    }
    seen.ended.store(true, Ordering::Relaxed);
    watching.join().map_err(|_| "the watch has panicked")?;
    let (outcomes, lost) = (outcomes.lock().unwrap(), lost.lock().unwrap());
    let summary = format!(
        "{n} requests: {outcomes:?}; the gateway held at most {} kB of {} kB; {} requests from \
         kept connections were passed on to a sound replica and got no answer: {lost:?}",
        seen.peak_kb.load(Ordering::Relaxed),
        options.memory_mb * 1024,
        lost.len()
    );
    site.record.add(&summary);
    println!("{summary}");
    site.record.write(folder);
    Ok(if lost.len() > MAY_BE_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
