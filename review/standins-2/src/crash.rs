//! A request that crashes each replica that begins to run it comes again and again, some
//! copies at a time. Once it has crashed three, few more may reach replicas.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Call;
use crate::http::answer_head;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Options;
use crate::site::Site;
use crate::site::serve_replica;

const REPLICAS: usize = 12;
/// Crashes after which few more copies may reach replicas, how many, and from when on.
const CRASHES: usize = 3;
const MAY_REACH: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Copies that come at a time, and the times.
const COPIES: usize = 6;
const WAVES: usize = 4;
const WAVE_EVERY: Duration = Duration::from_secs(6);
/// Time from the beginning of a run to the crash, and until the replica is back.
const RUNS_FOR: Duration = Duration::from_millis(150);
const BACK_AFTER: Duration = Duration::from_secs(3);
const CALLS_PER_S: u64 = 120;
const WORK: Duration = Duration::from_millis(60);
const POISON: &str = "an order that crashes replicas";

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"topup","host":"{HOST}","path_prefix":"/topup/","kind":"non_idempotent","timeout_ms":3000,"goal_ms":300,"priority":1,"service":"app","attempts":1,"anonymous":false,"resumable":false}}],
"services":[{{"name":"app","health_path":"/healthz","max_conns":100}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Runs a replica as a process of its own, which tells on its output what it runs.
pub fn replica(address: &str, id: &str) -> Result<Verdict, String> {
    let address = address.parse::<SocketAddr>().map_err(|e| e.to_string())?;
    let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
    let own = id.to_owned();
    serve_replica(listener, move |req, to| {
        if req.path() == "/healthz" {
            let head = "HTTP/1.1 200 OK\r\nReplica-Id: ";
            write!(to, "{head}{own}\r\nContent-Length: 0\r\n\r\n")?;
            return Ok(true);
        }
        println!("{}", req.id());
        if req.body == POISON.as_bytes() {
            thread::sleep(RUNS_FOR);
            process::exit(70);
        }
        thread::sleep(WORK);
        let head = answer_head("200 OK", req.id(), &own, "Content-Length: 5\r\n");
        to.write_all((head + "done\n").as_bytes())?;
        Ok(true)
    });
    // Ends with the case: its input is closed then.
    let _ended = std::io::stdin().lock().read_until(0, &mut Vec::new());
    Ok(Verdict::Held)
}

/// What was seen of the request that crashes replicas.
#[derive(Debug, Default)]
struct Seen {
    crashes: Mutex<Vec<Instant>>,
    arrivals: Mutex<Vec<Instant>>,
    ended: AtomicBool,
}

fn start_replica(address: SocketAddr, id: &str) -> Result<Child, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    Command::new(program)
        .args(["replica", &address.to_string(), id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| e.to_string())
}

/// Keeps a replica running: it is back some seconds after a crash, under its id.
fn keep(site: &Site, seen: &Seen, address: SocketAddr, id: &str) -> Result<(), String> {
    for born in 1.. {
        let mut child = start_replica(address, id)?;
        site.register(id, "app", address, born);
        let lines = BufReader::new(child.stdout.take().ok_or("no output")?);
        for request in lines.lines().map_while(Result::ok) {
            site.record.add(&format!("{id} runs {request}"));
            if request.starts_with("poison") {
                seen.arrivals.lock().unwrap().push(Instant::now());
            }
        }
        let _status = child.wait();
        if seen.ended.load(Ordering::Relaxed) {
            break;
        }
        seen.crashes.lock().unwrap().push(Instant::now());
        site.record.add(&format!("{id} has crashed"));
        thread::sleep(BACK_AFTER);
    }
    Ok(())
}

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let site = Arc::new(Site::start(&configuration()));
    let seen = Arc::new(Seen::default());
    let mut children = Vec::new();
    for n in 0..REPLICAS {
        let (site, seen) = (Arc::clone(&site), Arc::clone(&seen));
        let address = site.replica_address();
        let id = format!("i-{n:02}");
        children.push(thread::spawn(move || keep(&site, &seen, address, &id)));
    }
    thread::sleep(Duration::from_millis(500));
    let first = site.gateway("front-a-1", Options::default(), BTreeMap::new())?;
    let second = site.gateway("front-a-2", Options::default(), BTreeMap::new())?;
    let gateways = [first.front, second.front];
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let sound = Mutex::new(BTreeMap::<String, usize>::new());
    let send = |to, id: &str, body| {
        let call = Call {
            to,
            method: "POST",
            path: "/topup/1",
            id,
            deadline_ms: 3_000,
            headers: &[],
            body,
        };
        let outcome = call.send();
        let (word, took) = (outcome.word(), outcome.took.as_millis());
        site.record
            .add(&format!("{id} is answered: {word}, after {took} ms"));
        word
    };
    thread::scope(|scope| {
        let (send, sound) = (&send, &sound);
        if trouble {
            scope.spawn(move || {
                for wave in 0..WAVES {
                    let at = began + Duration::from_secs(1) + WAVE_EVERY * wave as u32;
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    for n in 0..COPIES {
                        let to = gateways[n % gateways.len()];
                        scope.spawn(move || send(to, &format!("poison-{wave}-{n}"), POISON));
                        thread::sleep(Duration::from_millis(15));
                    }
                }
            });
        }
        let lasts = Duration::from_secs(2) + WAVE_EVERY * WAVES as u32;
        let mut n = 0;
        while began.elapsed() < lasts {
            let to = gateways[n as usize % gateways.len()];
            scope.spawn(move || {
                let word = send(to, &format!("order-{n:04}"), "a sound order");
                *sound.lock().unwrap().entry(word).or_default() += 1;
            });
            n += 1;
            let next = began + Duration::from_millis(1_000 * n / CALLS_PER_S);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    });
    let crashes = seen.crashes.lock().unwrap().clone();
    let third = crashes.get(CRASHES - 1).map(|at| *at + STABLE_WINDOW);
    let arrivals = seen.arrivals.lock().unwrap();
    let late = arrivals
        .iter()
        .filter(|at| third.is_some_and(|third| **at > third));
    let late = late.count();
    let summary = format!(
        "{} copies reached replicas and crashed {} of them; {late} came later than {} s after the \
         third crash; sound orders: {:?}",
        arrivals.len(),
        crashes.len(),
        STABLE_WINDOW.as_secs(),
        sound.lock().unwrap()
    );
    site.record.add(&summary);
    println!("{summary}");
    site.record.write(folder);
    seen.ended.store(true, Ordering::Relaxed);
    Ok(if late > MAY_REACH {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
