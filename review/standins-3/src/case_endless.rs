//! A replica in trouble sends bytes that are no answer in a chunked body, without end.

use std::io::Write;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::site;
use crate::site::Gateway;
use crate::site::Record;
use crate::store::Store;
use crate::Verdict;

/// `timeout_ms` of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after it in which a request has to be answered.
const SLACK: Duration = Duration::from_millis(500);
/// How long clients wait.
const DEADLINE: Duration = Duration::from_secs(8);
/// When the trouble begins and ends, and how long requests are sent.
const TROUBLE_FROM: Duration = Duration::from_secs(4);
const TROUBLE_UNTIL: Duration = Duration::from_secs(16);
const SEND_FOR: Duration = Duration::from_secs(14);
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let net = site::network();
    let store = Store::start(&format!("{net}9"));
    let endless = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    for n in 1..=3_u8 {
        let id = format!("i-{n}");
        let (endless, sent, record) = (Arc::clone(&endless), Arc::clone(&sent), record.clone());
        let handled_by = id.clone();
        let address = site::replica(&format!("{net}{}", 100 + n), move |request, mut stream| {
            let id = handled_by.as_str();
            let request_id = request.header("request-id").unwrap_or("").to_owned();
            record.line(format!("replica {id} runs {request_id}"));
            thread::sleep(Duration::from_millis(20));
            if id != "i-1" || !endless.load(Ordering::Relaxed) || request_id.is_empty() {
                site::answer(&mut stream, &request, id, "200 OK", "done");
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Id: {id}\r\nResponse-Stamp: {id}.{request_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            record.line(format!("replica {id} answers {request_id} with bytes without end"));
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            let garbage = vec![b'0'; 256 * 1024];
            // Until the caller closes, or the trouble is over.
            while endless.load(Ordering::Relaxed) && stream.write_all(&garbage).is_ok() {
                sent.fetch_add(garbage.len(), Ordering::Relaxed);
            }
            record.line(format!("replica {id} has ended its answer to {request_id}"));
        });
        site::register(&store, &id, "app", address, 6);
    }
    store.put(
        "config",
        "main",
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"app.example\",\"path_prefix\":\"/read/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":150,\"priority\":2,\"service\":\"app\",\"attempts\":2,\"anonymous\":false}],\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"org-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}",
    );
    let ips = [format!("{net}1"), format!("{net}2")];
    let seeds = ips.iter().map(String::as_str).collect::<Vec<_>>();
    let gateways = ips.iter().map(|ip| Gateway::start(ip, &store, &seeds));
    let gateways = gateways.collect::<Vec<_>>();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not get ready".to_owned());
    }
    // As long as a machine has to run calmly to be in touch.
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let (tx, rx) = mpsc::channel();
    let mut number = 0_u32;
    let silent_checks = Arc::new(AtomicUsize::new(0));
    let checks = gateways.iter().map(Gateway::ready_check);
    for check in checks {
        let (silent_checks, record) = (Arc::clone(&silent_checks), record.clone());
        thread::spawn(move || loop {
            let status = check();
            if status == 0 {
                silent_checks.fetch_add(1, Ordering::Relaxed);
            }
            record.line(format!("readiness check: {status}"));
            thread::sleep(Duration::from_secs(1));
        });
    }
    while began.elapsed() < SEND_FOR {
        let is_trouble = trouble && began.elapsed() >= TROUBLE_FROM;
        if is_trouble && !endless.swap(true, Ordering::Relaxed) {
            record.line("replica i-1 is in trouble from now on");
        }
        for gateway in &gateways {
            number += 1;
            let (id, to) = (format!("{number:016x}"), gateway.front());
            let (tx, record) = (tx.clone(), record.clone());
            record.line(format!("client sends {id} to {to}"));
            thread::spawn(move || {
                let request = format!(
                    "GET /read/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer key-1\r\n\r\n",
                    DEADLINE.as_millis()
                );
                let answer = http::call(to, request.as_bytes(), DEADLINE);
                record.line(format!(
                    "client has {id}: status {} complete {} after {} ms {}",
                    answer.status(),
                    answer.complete,
                    answer.took.as_millis(),
                    answer.error
                ));
                let _gone = tx.send(answer);
            });
        }
        thread::sleep(PAUSE);
    }
    drop(tx);
    let left = TROUBLE_UNTIL.saturating_sub(began.elapsed());
    thread::sleep(left);
    endless.store(false, Ordering::Relaxed);
    let (mut all, mut over_time, mut unanswered) = (0, 0, 0);
    for answer in rx {
        all += 1;
        let is_final = answer.complete || (answer.status() == 0 && answer.took < DEADLINE);
        if answer.took >= ROUTE_TIMEOUT {
            over_time += 1;
            if !is_final || answer.took > ROUTE_TIMEOUT + SLACK {
                unanswered += 1;
            }
        }
    }
    let bytes = sent.load(Ordering::Relaxed);
    let silent_checks = silent_checks.load(Ordering::Relaxed);
    let text = format!(
        "{all} requests; {over_time} unanswered at the route's timeout_ms, {unanswered} of them also half a second later; {silent_checks} readiness checks without an answer; {bytes} bytes sent without end"
    );
    record.line(&text);
    println!("{text}");
    if unanswered * 2 > over_time && unanswered >= 8 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
