//! A stand-in for a replica of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::http::Head;
use crate::http::answer;
use crate::http::listen;

/// What a replica does with a request that it runs.
#[derive(Debug, Clone)]
pub enum Work {
    /// Answers with a body of so many bytes after some time.
    Answer { after: Duration, bytes: usize },
    /// Streams so many events, with a pause before each.
    Stream { events: u64, pause: Duration },
}

/// What became of a request at the replica.
#[derive(Debug, Clone)]
pub struct Run {
    pub replica: String,
    /// When it was answered in full, or how that failed.
    pub ended: Option<(Instant, bool)>,
}

pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    runs: Runs,
}

impl Replica {
    pub fn start(id: &str, address: SocketAddr, work: Work, runs: &Runs) -> std::io::Result<Self> {
        let replica = Self {
            id: id.to_owned(),
            address,
            work,
            runs: Arc::clone(runs),
        };
        let serving = replica.clone();
        listen(address, move |conn| serving.serve(conn))?;
        Ok(replica)
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        Self::entry_at(self.address, service, zone, state)
    }

    /// Returns the entry of a replica at an address.
    pub fn entry_at(address: SocketAddr, service: &str, zone: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"{state}","cold_left_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"born":1700000000000,"seq":1}}"#
        )
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head() {
            if conn.request_body(&head).is_err() || self.respond(&mut conn, &head).is_err() {
                return;
            }
        }
    }

    fn respond(&self, conn: &mut Conn, head: &Head) -> std::io::Result<()> {
        let load = ("Replica-Load", "1,0,16".to_owned());
        if head.word(1) == "/healthz" {
            return conn.write(&answer(
                "200 OK",
                &[("Replica-Id", self.id.clone()), load],
                b"",
            ));
        }
        if head
            .header("expect-replica")
            .is_some_and(|id| id != self.id)
        {
            let id = ("Replica-Id", self.id.clone());
            return conn.write(&answer("421 Misdirected Request", &[id], b""));
        }
        let id = head.header("request-id").unwrap_or_default().to_owned();
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let of_id = runs.entry(id.clone()).or_default();
            of_id.push(Run {
                replica: self.id.clone(),
                ended: None,
            });
            of_id.len() - 1
        };
        let stamp = format!("stamp.{}.{id}", self.id);
        let done = self.run(conn, &id, &stamp, load);
        let mut runs = self.runs.lock().unwrap();
        if let Some(run) = runs.get_mut(&id).and_then(|of_id| of_id.get_mut(index)) {
            run.ended = Some((Instant::now(), done.is_ok()));
        }
        done
    }

    fn run(
        &self,
        conn: &mut Conn,
        id: &str,
        stamp: &str,
        load: (&str, String),
    ) -> std::io::Result<()> {
        let headers = [
            ("Request-Id", id.to_owned()),
            ("Response-Stamp", stamp.to_owned()),
            load,
        ];
        match self.work {
            Work::Answer { after, bytes } => {
                thread::sleep(after);
                conn.write(&answer("200 OK", &headers, &body(id, bytes)))
            }
            Work::Stream { events, pause } => {
                let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
                text.push_str("Transfer-Encoding: chunked\r\n");
                for (name, value) in &headers {
                    text.push_str(&format!("{name}: {value}\r\n"));
                }
                text.push_str("\r\n");
                conn.write(text.as_bytes())?;
                for n in 1..=events {
                    thread::sleep(pause);
                    let event = format!("id: {n}\ndata: piece {n} of {events} for {id}\n\n");
                    conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                conn.write(b"0\r\n\r\n")
            }
        }
    }
}

/// Returns the body of the answer to a request: its id, repeated.
pub fn body(id: &str, bytes: usize) -> Vec<u8> {
    format!("{id} ")
        .into_bytes()
        .into_iter()
        .cycle()
        .take(bytes)
        .collect()
}
