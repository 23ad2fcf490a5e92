//! Requests come with a part of a prompt that crashes replicas: while all gateways are killed
//! at the same moment, or some at a time.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Message;
use crate::site;
use crate::site::Gateway;
use crate::site::Record;
use crate::store::Store;
use crate::Verdict;

const REPLICAS: usize = 8;
/// Replicas, requests at a time and the time between these where they come so.
const REPLICAS_FOR_WAVES: usize = 21;
const WAVE: u32 = 6;
const WAVE_EACH: Duration = Duration::from_secs(6);
/// Time for which a replica that has crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// The part that crashes replicas, and one that all requests hold.
const BAD_PART: &str = "bad0";
const FIRST_PART: &str = "aa01";
const BAD_EACH: Duration = Duration::from_secs(4);
const SOUND_EACH: Duration = Duration::from_millis(100);
const EVENTS: u64 = 10;
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// When the gateways are killed, for how long they are away, and when the day ends.
const KILL_AT: Duration = Duration::from_millis(20_200);
const AWAY: Duration = Duration::from_millis(500);
const ENDS_AT: Duration = Duration::from_secs(45);

/// A replica that can crash.
struct Replica {
    id: String,
    address: SocketAddr,
    /// Number of its process; connections of an earlier one are closed.
    process: Mutex<u64>,
}

/// What the replicas saw.
#[derive(Default)]
struct Seen {
    crashes: Mutex<Vec<Instant>>,
    /// Bad requests that reached a replica, and when.
    bad: Mutex<Vec<(String, Instant)>>,
}

/// What is disrupted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// All gateways are killed at the same moment.
    Herd,
    /// The requests with the bad part come some at a time.
    Waves,
}

pub fn run(record: &Record, trouble: bool, scenario: Scenario) -> Verdict {
    let net = site::network();
    let store = Store::start(&format!("{net}9"));
    let seen = Arc::new(Seen::default());
    let replicas = match scenario {
        Scenario::Herd => REPLICAS,
        Scenario::Waves => REPLICAS_FOR_WAVES,
    };
    for n in 1..=replicas {
        start_replica(&format!("i-{n}"), &format!("{net}{}", 100 + n), &store, &seen, record);
    }
    store.put("config", "main", CONFIG);
    let ips = [format!("{net}1"), format!("{net}2"), format!("{net}3")];
    let seeds = ips.iter().map(String::as_str).collect::<Vec<_>>();
    let start_all = || ips.iter().map(|ip| Gateway::start(ip, &store, &seeds)).collect::<Vec<_>>();
    let mut gateways = start_all();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not get ready".to_owned());
    }
    let fronts = gateways.iter().map(Gateway::front).collect::<Vec<_>>();
    thread::sleep(STABLE_WINDOW);
    let began = Instant::now();
    let (at_a_time, bad_each) = match scenario {
        Scenario::Herd => (1, BAD_EACH),
        Scenario::Waves => (if trouble { WAVE } else { 1 }, WAVE_EACH),
    };
    let bad = send_each(bad_each, at_a_time, "b", began, &fronts, record);
    let sound = send_each(SOUND_EACH, 1, "s", began, &fronts, record);
    // Since when the gateways have run without a disruption.
    let mut calm_since = began;
    if trouble && scenario == Scenario::Herd {
        thread::sleep(KILL_AT);
        record.line("all gateways are killed");
        gateways.clear();
        thread::sleep(AWAY);
        calm_since = Instant::now();
        gateways = start_all();
        record.line("all gateways are started again");
    }
    let (_, bad) = (gateways.len(), bad.join().expect("clients end"));
    let sound = sound.join().expect("clients end");
    drop(gateways);
    let crashes = seen.crashes.lock().unwrap().clone();
    let reached = seen.bad.lock().unwrap().clone();
    let Some(fifth) = crashes.get(4).copied() else {
        return Verdict::NotRun(format!("only {} replicas crashed", crashes.len()));
    };
    let in_touch_from = calm_since.max(fifth) + STABLE_WINDOW;
    let late = reached.iter().filter(|(id, _)| {
        let sent = bad.iter().find(|(sent_id, _, _)| sent_id == id);
        sent.is_some_and(|(_, at, _)| *at > in_touch_from && *at > fifth + STABLE_WINDOW)
    });
    let late = late.count();
    let lost = sound.iter().filter(|(_, at, answer)| {
        *at > in_touch_from && answer.status() == 200 && !answer.complete
    });
    let text = format!(
        "{} requests with the bad part, {} reached replicas, {late} of them sent by machines in touch more than {} ms after the fifth crash; {} crashes; {} of {} sound streams broke off after that",
        bad.len(),
        reached.len(),
        STABLE_WINDOW.as_millis(),
        crashes.len(),
        lost.count(),
        sound.iter().filter(|(_, at, _)| *at > in_touch_from).count(),
    );
    record.line(&text);
    println!("{text}");
    if late > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

type Sent = Vec<(String, Instant, http::Answer)>;

/// Sends requests at an interval, so many at a time, each to the next gateway, and returns what
/// came of them.
fn send_each(
    interval: Duration,
    at_a_time: u32,
    kind: &'static str,
    began: Instant,
    fronts: &[SocketAddr],
    record: &Record,
) -> thread::JoinHandle<Sent> {
    let (fronts, record) = (fronts.to_vec(), record.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        for number in 0_u32.. {
            let at = began + interval * (number / at_a_time);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if began.elapsed() >= ENDS_AT {
                break;
            }
            let to = fronts[number as usize % fronts.len()];
            let id = format!("{kind}{number:015x}");
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let middle = if kind == "b" {
                    format!("{BAD_PART}:800,")
                } else {
                    // One of 40 parts, without a period.
                    format!("c{:03x}:800,", (number.wrapping_mul(2_654_435_761) >> 16) % 40)
                };
                let request = format!(
                    "POST /ask/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Count: 5000,340\r\nPrompt-Prefix: {FIRST_PART}:40,{middle}{id}:4160\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-1\r\nContent-Length: 21\r\n\r\nbody-{id}"
                );
                let sent_at = Instant::now();
                record.line(format!("client sends {id} to {to}"));
                let answer = http::call(to, request.as_bytes(), Duration::from_secs(8));
                record.line(format!(
                    "client has {id}: status {} complete {} {}",
                    answer.status(),
                    answer.complete,
                    answer.error
                ));
                (id, sent_at, answer)
            }));
        }
        clients.into_iter().map(|c| c.join().expect("a client ends")).collect()
    })
}

fn register(store: &Store, replica: &Replica) {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let spec = format!(
        "{{\"service\":\"llm\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":{}}}",
        replica.address,
        born.as_millis()
    );
    store.put("servers", &replica.id, &spec);
}

fn start_replica(id: &str, ip: &str, store: &Store, seen: &Arc<Seen>, record: &Record) {
    let listener = TcpListener::bind((ip, 0)).expect("an address for a replica");
    let replica = Arc::new(Replica {
        id: id.to_owned(),
        address: listener.local_addr().expect("an address"),
        process: Mutex::new(0),
    });
    register(store, &replica);
    let (store, seen, record) = (store.clone(), Arc::clone(seen), record.clone());
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            let process = *replica.process.lock().unwrap();
            let Some(accepting) = listener.take().or_else(|| bind(replica.address)) else {
                return;
            };
            if process > 0 {
                register(&store, &replica);
                record.line(format!("replica {} is back", replica.id));
            }
            accept(&replica, process, accepting, &seen, &record);
            thread::sleep(DOWN);
        }
    });
}

fn bind(address: SocketAddr) -> Option<TcpListener> {
    (0..50).find_map(|_| {
        thread::sleep(Duration::from_millis(20));
        TcpListener::bind(address).ok()
    })
}

/// Serves until the process crashes.
fn accept(
    replica: &Arc<Replica>,
    process: u64,
    listener: TcpListener,
    seen: &Arc<Seen>,
    record: &Record,
) {
    listener.set_nonblocking(true).expect("a listener that does not block");
    while *replica.process.lock().unwrap() == process {
        let Ok((mut stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let (replica, seen, record) = (Arc::clone(replica), Arc::clone(seen), record.clone());
        thread::spawn(move || {
            let _result = stream.set_nonblocking(false);
            let _result = stream.set_nodelay(true);
            if let Ok(Some(request)) = http::read_request(&mut stream) {
                answer(&replica, process, &request, &mut stream, &seen, &record);
            }
            let _gone = stream.shutdown(Shutdown::Both);
        });
    }
}

fn answer(
    replica: &Replica,
    process: u64,
    request: &Message,
    stream: &mut TcpStream,
    seen: &Seen,
    record: &Record,
) {
    let id = replica.id.as_str();
    if !request.target().starts_with("/ask/") {
        site::answer(stream, request, id, "200 OK", "");
        return;
    }
    let request_id = request.header("request-id").unwrap_or("");
    let parts = request.header("prompt-prefix").unwrap_or("");
    let is_bad = parts.split(',').any(|part| part.starts_with(BAD_PART));
    record.line(format!("replica {id} runs {request_id}"));
    if is_bad {
        seen.bad.lock().unwrap().push((request_id.to_owned(), Instant::now()));
    }
    // The prompt is read.
    thread::sleep(Duration::from_millis(100));
    if is_bad {
        let mut current = replica.process.lock().unwrap();
        if *current == process {
            *current += 1;
            seen.crashes.lock().unwrap().push(Instant::now());
            record.line(format!("replica {id} crashes under {request_id}"));
        }
        return;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Id: {id}\r\nResponse-Stamp: {id}.{request_id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if *replica.process.lock().unwrap() != process || stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    for event in 1..=EVENTS {
        thread::sleep(Duration::from_millis(100));
        let text = format!("id: {event}\ndata: {event:034}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        let is_up = *replica.process.lock().unwrap() == process;
        if !is_up || stream.write_all(chunk.as_bytes()).is_err() {
            return;
        }
    }
    let _gone = stream.write_all(b"0\r\n\r\n");
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"app.example\",\"path_prefix\":\"/ask/\",\"kind\":\"streaming\",\"timeout_ms\":10000,\"goal_ms\":300,\"gap_goal_ms\":250,\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":false}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":364,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kv_capacity\":405000,\"stride\":34,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"delays\":[],\"usual\":{\"prompt\":5000,\"answer\":340},\"hop_ms\":0.1}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"org-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
