//! A gateway is partitioned from all replicas for some seconds, while sound replicas answer
//! a part of the requests with an error of their own, as on the sheet. No request may run on
//! more replicas than its route's `attempts`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Call;
use crate::http::answer_head;
use crate::link::Link;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Options;
use crate::site::Site;
use crate::site::serve_replica;

const REPLICAS: usize = 8;
const ATTEMPTS: usize = 2;
/// Requests that may run on more replicas by the rule.
const MAY_EXCEED: usize = 3;
/// `error_share` of `balance-check` in the site file, in percent.
const ERRORS_PERCENT: u64 = 14;
const WORK: Duration = Duration::from_millis(30);
const DEADLINE_MS: u64 = 1_000;
/// Requests a second at each gateway.
const PER_S: u64 = 150;
const LASTS: Duration = Duration::from_secs(18);
const CUT_AT: Duration = Duration::from_secs(3);
const CUT_FOR: Duration = Duration::from_secs(12);

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"balance","host":"{HOST}","path_prefix":"/balance/","kind":"idempotent","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"app","attempts":{ATTEMPTS},"anonymous":false,"resumable":false}}],
"services":[{{"name":"app","health_path":"/healthz","max_conns":100}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Returns whether a replica fails a request, drawn anew for each pair of them.
fn fails(replica: &str, request: &str) -> bool {
    let mut hasher = DefaultHasher::new();
    (replica, request).hash(&mut hasher);
    hasher.finish() % 100 < ERRORS_PERCENT
}

/// Sends requests to one gateway at an even pace.
fn ask(site: &Arc<Site>, name: &str, to: SocketAddr, began: Instant) {
    let mut callers = Vec::new();
    let mut n = 0;
    while began.elapsed() < LASTS {
        let (site, id) = (Arc::clone(site), format!("{name}-{n:04}"));
        callers.push(thread::spawn(move || {
            let call = Call {
                to,
                method: "GET",
                path: "/balance/1",
                id: &id,
                deadline_ms: DEADLINE_MS,
                headers: &[],
                body: "",
            };
            let outcome = call.send();
            let (word, took) = (outcome.word(), outcome.took.as_millis());
            site.record
                .add(&format!("{id} is answered: {word}, after {took} ms"));
        }));
        n += 1;
        let next = began + Duration::from_millis(1_000 * n / PER_S);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    for caller in callers {
        caller.join().expect("a caller");
    }
}

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let site = Arc::new(Site::start(&configuration()));
    let runs = Arc::new(Mutex::new(BTreeMap::<String, BTreeSet<String>>::new()));
    let (mut links, mut addresses) = (Vec::new(), BTreeMap::new());
    for n in 0..REPLICAS {
        let (address, by_link) = (site.replica_address(), site.replica_address());
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        links.push(Link::start(by_link, address).map_err(|e| e.to_string())?);
        addresses.insert(address.to_string(), by_link.to_string());
        let id = format!("i-{n}");
        site.register(&id, "app", address, 1);
        let (record, runs) = (Arc::clone(&site.record), Arc::clone(&runs));
        serve_replica(listener, move |req, to| {
            if req.path() == "/healthz" {
                let head = "HTTP/1.1 200 OK\r\nReplica-Id: ";
                write!(to, "{head}{id}\r\nContent-Length: 0\r\n\r\n")?;
                return Ok(true);
            }
            let mut all = runs.lock().unwrap();
            all.entry(req.id().to_owned())
                .or_default()
                .insert(id.clone());
            drop(all);
            thread::sleep(WORK);
            let fails = fails(&id, req.id());
            let status = if fails {
                "500 Internal Server Error"
            } else {
                "200 OK"
            };
            record.add(&format!("{id} has run {}: {status}", req.id()));
            let head = answer_head(status, req.id(), &id, "Content-Length: 5\r\n");
            to.write_all((head + "text\n").as_bytes())?;
            Ok(true)
        });
    }
    let options = Options::default();
    let cut_off = site.gateway("front-a-1", options, addresses)?;
    let others = ["front-a-2", "front-a-3"];
    let others = others.map(|name| site.gateway(name, options, BTreeMap::new()));
    let [second, third] = others;
    let gateways = [("a", cut_off), ("b", second?), ("c", third?)];
    // The gateways get to know each other.
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    thread::scope(|scope| {
        for (name, gateway) in &gateways {
            let site = &site;
            scope.spawn(move || ask(site, name, gateway.front, began));
        }
        if trouble {
            thread::sleep(CUT_AT);
            site.record
                .add("the first gateway is partitioned from all replicas");
            links.iter().for_each(|link| link.set_cut(true));
            thread::sleep(CUT_FOR);
            links.iter().for_each(|link| link.set_cut(false));
            site.record.add("it no longer is");
        }
    });
    let runs = runs.lock().unwrap();
    let exceeded = runs
        .iter()
        .filter(|(_, replicas)| replicas.len() > ATTEMPTS);
    let exceeded = exceeded.collect::<Vec<_>>();
    for (id, replicas) in &exceeded {
        site.record.add(&format!("{id} ran on {replicas:?}"));
    }
    let summary = format!(
        "{} requests ran; {} of them on more replicas than the {ATTEMPTS} that their route allows",
        runs.len(),
        exceeded.len()
    );
    site.record.add(&summary);
    println!("{summary}");
    site.record.write(folder);
    Ok(if exceeded.len() > MAY_EXCEED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
