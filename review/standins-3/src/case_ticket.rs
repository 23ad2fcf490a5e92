//! Model replicas that share long prompts fall silent for a second or so and go on.

use std::collections::HashMap;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::site;
use crate::site::Gateway;
use crate::site::Record;
use crate::store::Store;
use crate::Verdict;

const ENGINES: usize = 8;
const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time to read a prompt.
const PREFILL: Duration = Duration::from_millis(200);
/// For how long a replica falls silent, after which event, and at each how many-th stream.
const SILENCE: Duration = Duration::from_millis(1_400);
const SILENT_AFTER: u64 = 5;
const SILENT_EACH: usize = 3;
const DEADLINE: Duration = Duration::from_secs(15);
const SEND_FOR: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(2_000);

/// Memory that is set aside at one replica.
struct Ticket {
    ends: Instant,
    users: Vec<String>,
}

/// What the replicas know together: tickets by the replica's address and id.
#[derive(Default)]
struct Engines {
    tickets: Mutex<HashMap<(String, String), Ticket>>,
    streams: AtomicUsize,
    shared: AtomicUsize,
    cut: AtomicUsize,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let net = site::network();
    let store = Store::start(&format!("{net}9"));
    let engines = Arc::new(Engines::default());
    for n in 1..=ENGINES {
        let id = format!("i-{n}");
        let ip = format!("{net}{}", 100 + n);
        let (engines, record, handled_by) = (Arc::clone(&engines), record.clone(), id.clone());
        let own = Arc::new(Mutex::new(String::new()));
        let known = Arc::clone(&own);
        let address = site::replica(&ip, move |request, stream| {
            let own = known.lock().unwrap().clone();
            serve(&engines, &record, &handled_by, &own, &request, stream, trouble);
        });
        *own.lock().unwrap() = address.to_string();
        site::register(&store, &id, "llm", address, 16);
    }
    store.put("config", "main", CONFIG);
    let ips = [format!("{net}1"), format!("{net}2")];
    let seeds = ips.iter().map(String::as_str).collect::<Vec<_>>();
    let gateways = ips.iter().map(|ip| Gateway::start(ip, &store, &seeds));
    let gateways = gateways.collect::<Vec<_>>();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not get ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut number = 0_usize;
    while began.elapsed() < SEND_FOR {
        number += 1;
        let to = gateways[number % gateways.len()].front();
        let id = format!("{number:016x}");
        let record = record.clone();
        record.line(format!("client sends {id} to {to}"));
        clients.push(thread::spawn(move || {
            let body = "x".repeat(11_200);
            let request = format!(
                "POST /read/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Count: 70000,700\r\nPrompt-Prefix: aa01:40,{id}:69960\r\nDeadline-Ms: {}\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n{body}",
                DEADLINE.as_millis(),
                body.len()
            );
            let answer = http::call(to, request.as_bytes(), DEADLINE);
            let body = answer.message.as_ref().map_or(&[][..], |m| &m.body);
            let events = String::from_utf8_lossy(body).matches("id: ").count();
            record.line(format!(
                "client has {id}: status {} complete {} events {events} after {} ms {}",
                answer.status(),
                answer.complete,
                answer.took.as_millis(),
                answer.error
            ));
            (answer.status(), answer.complete)
        }));
        thread::sleep(PAUSE);
    }
    let answers = clients.into_iter().map(|c| c.join().expect("a client ends"));
    let answers = answers.collect::<Vec<_>>();
    let begun = answers.iter().filter(|(status, _)| *status == 200).count();
    let whole = answers.iter().filter(|(status, complete)| *status == 200 && *complete).count();
    let shared = engines.shared.load(Ordering::Relaxed);
    let text = format!(
        "{} requests, {begun} answers begun, {whole} of them whole; {shared} times two requests used one ticket at the same time; {} streams cut as their memory was released",
        answers.len(),
        engines.cut.load(Ordering::Relaxed)
    );
    record.line(&text);
    println!("{text}");
    if begun == 0 {
        return Verdict::NotRun("no answer began".to_owned());
    }
    if shared > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn serve(
    engines: &Engines,
    record: &Record,
    id: &str,
    own: &str,
    request: &Message,
    mut stream: TcpStream,
    trouble: bool,
) {
    if request.target().starts_with("/healthz") {
        site::answer(&mut stream, request, id, "200 OK", "");
        return;
    }
    if request.target().starts_with("/v1/order") {
        order(engines, record, id, own, request, &mut stream);
        return;
    }
    let request_id = request.header("request-id").unwrap_or("").to_owned();
    let helpers = request.header("helpers").unwrap_or("").to_owned();
    let tickets = helpers.split(',').filter_map(|helper| helper.trim().split_once('/'));
    let tickets = tickets.map(|(address, ticket)| (address.to_owned(), ticket.to_owned()));
    let tickets = tickets.collect::<Vec<_>>();
    let after = request.header("last-event-id").and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let run = format!("{request_id}@{id}");
    record.line(format!("replica {id} runs {request_id} after event {after} with helpers {helpers}"));
    if !begin(engines, record, &tickets, &run) {
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\nReplica-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        );
        record.line(format!("replica {id} refuses {request_id}: a helper lacks its ticket"));
        let _gone = stream.write_all(text.as_bytes());
        return;
    }
    let ended = answer(engines, &tickets, id, &request_id, after, &mut stream, trouble);
    let mut known = engines.tickets.lock().unwrap();
    for ticket in &tickets {
        if let Some(ticket) = known.get_mut(ticket) {
            ticket.users.retain(|user| *user != run);
        }
    }
    drop(known);
    record.line(format!("replica {id} has ended {request_id}: {ended}"));
    let _gone = stream.shutdown(Shutdown::Both);
}

/// Takes the tickets of a request, unless a helper lacks one.
fn begin(engines: &Engines, record: &Record, tickets: &[(String, String)], run: &str) -> bool {
    let now = Instant::now();
    let mut known = engines.tickets.lock().unwrap();
    known.retain(|_, ticket| ticket.ends > now);
    if !tickets.iter().all(|ticket| known.contains_key(ticket)) {
        return false;
    }
    for key in tickets {
        if let Some(ticket) = known.get_mut(key) {
            if !ticket.users.is_empty() {
                engines.shared.fetch_add(1, Ordering::Relaxed);
                record.line(format!(
                    "ticket {} at {} is used by {} and now also by {run}",
                    key.1,
                    key.0,
                    ticket.users.join(",")
                ));
            }
            ticket.users.push(run.to_owned());
        }
    }
    true
}

/// Writes the events of an answer. A request whose memory is gone is cut off.
fn answer(
    engines: &Engines,
    tickets: &[(String, String)],
    id: &str,
    request_id: &str,
    after: u64,
    stream: &mut TcpStream,
    trouble: bool,
) -> &'static str {
    // A stream that goes on at another replica does not fall silent again.
    let number = if after == 0 {
        engines.streams.fetch_add(1, Ordering::Relaxed)
    } else {
        1
    };
    let falls_silent = trouble && number % SILENT_EACH == 0;
    thread::sleep(PREFILL);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Id: {id}\r\nResponse-Stamp: {id}.{request_id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return "the caller is gone";
    }
    for event in after + 1..=EVENTS {
        let silent = falls_silent && event == SILENT_AFTER + 1;
        let until = Instant::now() + if silent { SILENCE } else { EVENT_INTERVAL };
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let known = engines.tickets.lock().unwrap();
            let held = |key| known.get(key).is_some_and(|ticket| ticket.ends > now);
            if !tickets.iter().all(held) {
                engines.cut.fetch_add(1, Ordering::Relaxed);
                return "cut off: its memory was released or has expired";
            }
        }
        let text = format!("id: {event}\ndata: {:034}\n\n", event);
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return "the caller is gone";
        }
    }
    let _gone = stream.write_all(b"0\r\n\r\n");
    "complete"
}

/// Sets memory aside, renews or releases it.
fn order(
    engines: &Engines,
    record: &Record,
    id: &str,
    own: &str,
    request: &Message,
    stream: &mut TcpStream,
) {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let text = |name: &str| {
        let rest = body.split_once(&format!("\"{name}\":\""))?.1;
        Some(rest.split_once('"')?.0.to_owned())
    };
    let number = |name: &str| {
        let rest = body.split_once(&format!("\"{name}\":"))?.1;
        rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
    };
    let key = (own.to_owned(), text("id").unwrap_or_default());
    let mut known = engines.tickets.lock().unwrap();
    match text("op").as_deref() {
        Some("reserve") => {
            let ends = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0));
            let ticket = known.entry(key.clone()).or_insert(Ticket {
                ends,
                users: Vec::new(),
            });
            ticket.ends = ends;
            record.line(format!("replica {id} has set memory aside for ticket {}", key.1));
        }
        Some("release") => {
            let users = known.remove(&key).map(|ticket| ticket.users).unwrap_or_default();
            record.line(format!(
                "replica {id} has released ticket {}, in use by [{}]",
                key.1,
                users.join(",")
            ));
        }
        _ => {}
    }
    drop(known);
    let body = "{\"free\":40000}";
    let text = format!(
        "HTTP/1.1 200 OK\r\nReplica-Id: {id}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _gone = stream.write_all(text.as_bytes());
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"app.example\",\"path_prefix\":\"/read/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"goal_ms\":500,\"gap_goal_ms\":250,\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":364,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kv_capacity\":60000,\"stride\":34,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"delays\":[],\"usual\":{\"prompt\":70000,\"answer\":700},\"hop_ms\":0.1}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"org-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
