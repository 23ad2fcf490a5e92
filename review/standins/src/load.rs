//! Clients that ask the directories where to connect, as the platform's clients do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::End;
use crate::client::Outcome;
use crate::client::Request;

/// What clients know of the addresses of a host: an answer of a directory is kept for its
/// time, and longer while no new one is to be had.
#[derive(Debug)]
pub struct Directory {
    directories: Vec<SocketAddr>,
    zone: &'static str,
    /// Multiple of its time for which an answer is kept: one, or three for some clients.
    keeps: u32,
    known: Mutex<(Vec<SocketAddr>, Instant)>,
}

impl Directory {
    pub fn new(directories: Vec<SocketAddr>, zone: &'static str, keeps: u32) -> Self {
        Self {
            directories,
            zone,
            keeps,
            known: Mutex::new((Vec::new(), Instant::now())),
        }
    }

    /// Returns an address for a new connection, if any is known.
    pub fn pick(&self, n: usize) -> Option<SocketAddr> {
        let mut known = self.known.lock().unwrap();
        if known.1 <= Instant::now() {
            let mut answers = self.directories.iter();
            if let Some((addresses, ttl)) = answers.find_map(|at| client::resolve(*at, self.zone)) {
                *known = (addresses, Instant::now() + ttl * self.keeps);
            } else {
                // Asked again soon; until then what is known is used.
                known.1 = Instant::now() + Duration::from_millis(500);
            }
        }
        let addresses = &known.0;
        (!addresses.is_empty()).then(|| addresses[n % addresses.len()])
    }
}

/// Sends a request every `every`, made by `make` from its number, from `from` to `until`,
/// each on a connection of its own, and returns what became of them.
pub fn steady<M>(
    directory: &Arc<Directory>,
    from: Instant,
    until: Instant,
    every: Duration,
    make: M,
) -> JoinHandle<Vec<Outcome>>
where
    M: Fn(usize) -> Request + Send + 'static,
{
    let directory = Arc::clone(directory);
    thread::spawn(move || {
        let mut sent = Vec::new();
        let mut at = from;
        let mut n = 0;
        while at < until {
            crate::site::sleep_until(at);
            let req = make(n);
            let directory = Arc::clone(&directory);
            sent.push(thread::spawn(move || {
                let Some(to) = directory.pick(n) else {
                    let now = Instant::now();
                    return Outcome {
                        id: req.id,
                        to: ([0, 0, 0, 0], 0).into(),
                        sent: now,
                        ended: now,
                        end: End::NotConnected("no address is known".to_owned()),
                        head: None,
                        body: Vec::new(),
                        extra: 0,
                    };
                };
                client::send(to, &req)
            }));
            at += every;
            n += 1;
        }
        sent.into_iter()
            .filter_map(|client| client.join().ok())
            .collect()
    })
}
