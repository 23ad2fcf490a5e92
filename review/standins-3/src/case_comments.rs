//! A replica that keeps its connection alive by comments takes a second or so for an event.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::site;
use crate::site::Gateway;
use crate::site::Record;
use crate::store::Store;
use crate::Verdict;

const EVENTS: u64 = 8;
/// The event before which there is a pause.
const LATE_EVENT: u64 = 4;
/// That pause, in comments, and its length without the disruption.
const COMMENT_EACH: Duration = Duration::from_millis(250);
const COMMENTS: usize = 6;
const COMMENTS_CALM: usize = 3;
/// Time to read a prompt, and one of which a part of the answer is read too.
const PREFILL: Duration = Duration::from_millis(200);
const PREFILL_RESUMED: Duration = Duration::from_millis(800);
const REQUESTS: u32 = 8;
const DEADLINE: Duration = Duration::from_secs(10);

/// What each run sent, by the request's id: replica, whole body so far, whether it is complete.
type Runs = Mutex<HashMap<String, Vec<(String, String, bool)>>>;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let net = site::network();
    let store = Store::start(&format!("{net}9"));
    let runs = Arc::new(Runs::default());
    for n in 1..=4_u8 {
        let id = format!("i-{n}");
        let (runs, record, own) = (Arc::clone(&runs), record.clone(), id.clone());
        let address = site::replica(&format!("{net}{}", 100 + n), move |request, stream| {
            serve(&runs, &record, &own, &request, stream, trouble);
        });
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
    let (mut whole, mut altered) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let to = gateways[number as usize % gateways.len()].front();
        record.line(format!("client sends {id} to {to}"));
        let request = format!(
            "POST /ask/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Count: 5000,300\r\nPrompt-Prefix: aa01:40,{id}:4960\r\nDeadline-Ms: {}\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody",
            DEADLINE.as_millis()
        );
        let answer = http::call(to, request.as_bytes(), DEADLINE);
        let body = answer.message.as_ref().map_or(&[][..], |m| &m.body);
        let body = String::from_utf8_lossy(body).into_owned();
        let from = answer.message.as_ref().and_then(|m| m.header("replica-id")).unwrap_or("");
        record.line(format!(
            "client has {id}: status {} complete {} from {from}, {} comments",
            answer.status(),
            answer.complete,
            body.matches(": wait").count()
        ));
        thread::sleep(Duration::from_millis(300));
        let runs = runs.lock().unwrap();
        let of_request = runs.get(&id).cloned().unwrap_or_default();
        // Answers that went on at another replica are not judged here.
        let first = of_request.iter().find(|(replica, _, complete)| replica == from && *complete);
        if let (Some((_, sent, _)), 200, true) = (first, answer.status(), answer.complete) {
            whole += 1;
            if *sent != body {
                altered += 1;
                record.line(format!("replica {from} sent {sent:?}"));
                record.line(format!("the client got {body:?}"));
            }
        }
    }
    let text = format!(
        "{REQUESTS} requests, {whole} complete answers of which one replica wrote all, {altered} of them with another body than the replica's"
    );
    record.line(&text);
    println!("{text}");
    if whole == 0 {
        return Verdict::NotRun("no replica wrote all of an answer".to_owned());
    }
    if altered > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn serve(
    runs: &Runs,
    record: &Record,
    id: &str,
    request: &Message,
    mut stream: TcpStream,
    trouble: bool,
) {
    if !request.target().starts_with("/ask/") {
        site::answer(&mut stream, request, id, "200 OK", "");
        return;
    }
    let request_id = request.header("request-id").unwrap_or("").to_owned();
    let after = request.header("last-event-id").and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    record.line(format!("replica {id} runs {request_id} after event {after}"));
    thread::sleep(if after == 0 { PREFILL } else { PREFILL_RESUMED });
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nReplica-Id: {id}\r\nResponse-Stamp: {id}.{request_id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut body = String::new();
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    let mut put = |text: &str| {
        body.push_str(text);
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
    };
    for event in after + 1..=EVENTS {
        if event == LATE_EVENT && after == 0 {
            for _ in 0..if trouble { COMMENTS } else { COMMENTS_CALM } {
                thread::sleep(COMMENT_EACH);
                put(": wait\n\n");
            }
        }
        thread::sleep(Duration::from_millis(50));
        put(&format!("id: {event}\ndata: {event:034}\n\n"));
    }
    is_open = is_open && stream.write_all(b"0\r\n\r\n").is_ok();
    let mut runs = runs.lock().unwrap();
    let of_request = runs.entry(request_id.clone()).or_default();
    of_request.push((id.to_owned(), body, is_open && after == 0));
    record.line(format!("replica {id} has ended {request_id}, complete {is_open}"));
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"app.example\",\"path_prefix\":\"/ask/\",\"kind\":\"streaming\",\"timeout_ms\":10000,\"goal_ms\":300,\"gap_goal_ms\":250,\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":364,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kv_capacity\":405000,\"stride\":34,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"delays\":[],\"usual\":{\"prompt\":5000,\"answer\":300},\"hop_ms\":0.1}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"org-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
