//! A sound replica falls silent for a second or so, now and then, while it writes streams.
//! No stream may run on more replicas than its route's `attempts`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Call;
use crate::http::Message;
use crate::http::answer_head;
use crate::http::write_chunk;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Options;
use crate::site::Site;
use crate::site::serve_replica;

const REPLICAS: usize = 4;
const ATTEMPTS: usize = 2;
/// Requests that may run on more replicas by the rule.
const MAY_EXCEED: usize = 3;
const STREAMS: usize = 40;
const DEADLINE_MS: u64 = 15_000;
/// Time to the first event, within the route's aim, and between two.
const FIRST_EVENT: Duration = Duration::from_millis(250);
const EVENT: Duration = Duration::from_millis(100);
const EVENTS: usize = 70;
/// Calls to the same service beside the streams, a second.
const CALLS_PER_S: u64 = 30;
/// When the first replica falls silent, from the start of the streams, and for how long.
const SILENT_AT: [Duration; 3] = [
    Duration::from_millis(2_000),
    Duration::from_millis(5_000),
    Duration::from_millis(8_000),
];
const SILENT_FOR: Duration = Duration::from_millis(1_250);

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"ask","host":"{HOST}","path_prefix":"/ask/","kind":"streaming","timeout_ms":15000,"goal_ms":300,"gap_goal_ms":250,"priority":1,"service":"app","attempts":{ATTEMPTS},"anonymous":false,"resumable":true}},
{{"name":"balance","host":"{HOST}","path_prefix":"/balance/","kind":"idempotent","timeout_ms":3000,"goal_ms":150,"priority":2,"service":"app","attempts":2,"anonymous":false,"resumable":false}}],
"services":[{{"name":"app","health_path":"/healthz","max_conns":364}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"t1","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// What the replicas share.
#[derive(Debug)]
struct Replicas {
    site: Arc<Site>,
    /// Start of the streams, once they have.
    began: Mutex<Option<Instant>>,
    trouble: bool,
    /// The replicas that ran each stream.
    runs: Mutex<BTreeMap<String, BTreeSet<usize>>>,
}

impl Replicas {
    /// Waits while the replica is silent: it neither reads nor writes.
    fn wait_out_silence(&self, replica: usize) {
        let Some(began) = *self.began.lock().unwrap() else {
            return;
        };
        if replica > 0 || !self.trouble {
            return;
        }
        for at in SILENT_AT {
            let (now, ends) = (Instant::now(), began + at + SILENT_FOR);
            if now >= began + at && now < ends {
                thread::sleep(ends - now);
            }
        }
    }

    fn answer(&self, replica: usize, req: &Message, to: &mut TcpStream) -> io::Result<bool> {
        let id = format!("i-{replica}");
        self.wait_out_silence(replica);
        if req.path() == "/healthz" {
            let head = "HTTP/1.1 200 OK\r\nReplica-Id: ";
            write!(to, "{head}{id}\r\nContent-Length: 0\r\n\r\n")?;
            return Ok(true);
        }
        if req.path().starts_with("/balance/") {
            thread::sleep(Duration::from_millis(30));
            let head = answer_head("200 OK", req.id(), &id, "Content-Length: 5\r\n");
            to.write_all((head + "text\n").as_bytes())?;
            return Ok(true);
        }
        let after = req
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let first = after.map_or(1, |after: usize| after + 1);
        let mut runs = self.runs.lock().unwrap();
        runs.entry(req.id().to_owned()).or_default().insert(replica);
        drop(runs);
        let line = format!("{id} runs {} from event {first}", req.id());
        self.site.record.add(&line);
        let ended = self.stream(replica, first, req, to);
        let how = if ended.is_ok() {
            "to its end"
        } else {
            "until its caller closed"
        };
        self.site
            .record
            .add(&format!("{id} ran {} {how}", req.id()));
        ended.map(|()| true)
    }

    fn stream(
        &self,
        replica: usize,
        first: usize,
        req: &Message,
        to: &mut TcpStream,
    ) -> io::Result<()> {
        thread::sleep(FIRST_EVENT);
        self.wait_out_silence(replica);
        let rest = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let head = answer_head("200 OK", req.id(), &format!("i-{replica}"), rest);
        to.write_all(head.as_bytes())?;
        for n in first..=EVENTS {
            self.wait_out_silence(replica);
            write_chunk(to, format!("id: {n}\ndata: event {n}\n\n").as_bytes())?;
            thread::sleep(EVENT);
        }
        to.write_all(b"0\r\n\r\n")
    }
}

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let site = Arc::new(Site::start(&configuration()));
    let replicas = Arc::new(Replicas {
        site: Arc::clone(&site),
        began: Mutex::default(),
        trouble,
        runs: Mutex::default(),
    });
    for n in 0..REPLICAS {
        let address = site.replica_address();
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        site.register(&format!("i-{n}"), "app", address, 1);
        let replicas = Arc::clone(&replicas);
        serve_replica(listener, move |req, to| replicas.answer(n, &req, to));
    }
    let gateway = site.gateway("front-a-1", Options::default(), BTreeMap::new())?;
    let began = Instant::now();
    *replicas.began.lock().unwrap() = Some(began);
    let outcomes = Mutex::new(BTreeMap::<String, usize>::new());
    let call = |method, path, id: &str, deadline_ms| {
        let call = Call {
            to: gateway.front,
            method,
            path,
            id,
            deadline_ms,
            headers: &[],
            body: "text",
        };
        call.send()
    };
    thread::scope(|scope| {
        for n in 0..STREAMS {
            let (site, call, outcomes) = (&site, &call, &outcomes);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(40 * n as u64));
                let id = format!("ask-{n:02}");
                let outcome = call("POST", "/ask/1", &id, DEADLINE_MS);
                let (word, took) = (outcome.word(), outcome.took.as_millis());
                site.record
                    .add(&format!("{id} is answered: {word}, after {took} ms"));
                *outcomes.lock().unwrap().entry(word).or_default() += 1;
            });
        }
        let mut n = 0;
        while began.elapsed() < Duration::from_secs(12) {
            let call = &call;
            scope.spawn(move || call("GET", "/balance/1", &format!("balance-{n:04}"), 3_000));
            n += 1;
            let next = began + Duration::from_millis(1_000 * n / CALLS_PER_S);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    });
    let runs = replicas.runs.lock().unwrap();
    let exceeded = runs
        .iter()
        .filter(|(_, replicas)| replicas.len() > ATTEMPTS);
    let exceeded = exceeded.collect::<Vec<_>>();
    for (id, replicas) in &exceeded {
        site.record
            .add(&format!("{id} ran on replicas {replicas:?}"));
    }
    let summary = format!(
        "{} streams, {:?}; {} of them ran on more replicas than the {ATTEMPTS} that their route allows",
        runs.len(),
        outcomes.lock().unwrap(),
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
