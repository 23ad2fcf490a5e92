//! A small deployment on loopback: the platform's store, replicas, and gateway processes.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Call;
use crate::http::Message;
use crate::http::read_request;

pub const HOST: &str = "review.example";
pub const KEY: &str = "k3y0ft3nant";
const STORE_PORT: u16 = 20_000;
const REPLICA_PORT: u16 = 20_080;
const FRONT: u16 = 20_001;
const READY: u16 = 20_002;
const DIRECTORY: u16 = 20_003;
const CONTROL: u16 = 20_004;
const FIRST_PORT: u16 = 20_010;
/// Items and bytes of one answer.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1024 * 1024;
/// The build of the deploy file leaves it here, seen from the repository's root.
const GATEWAY: &str = "target/release/briarhall-gateway";

/// What was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn add(&self, line: &str) {
        let at = self.began.elapsed().as_millis();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:>6} ms  {line}"));
    }

    pub fn write(&self, folder: &Path) {
        let mut file = File::create(folder.join("record.txt")).expect("the record");
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}").expect("the record");
        }
    }
}

/// The platform's store, which answers as its page says. It has no disruption.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Whether calls that arrive now are never answered. Their connections stay open.
    silent: AtomicBool,
}

#[derive(Debug, Default)]
struct StoreState {
    rev: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
}

fn object(name: &str, rev: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","rev":{rev},"create_rev":{rev},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

impl Store {
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (rev, spec.to_owned()));
        let object = object(name, rev, spec);
        let event = format!(r#"{{"tombstone":false,"object":{object}}}"#);
        state.history.push((rev, kind.to_owned(), event));
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        let object = object(name, rev, "null");
        let event = format!(r#"{{"tombstone":true,"object":{object}}}"#);
        state.history.push((rev, kind.to_owned(), event));
        self.changed.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Answers at this address. Addresses of replicas are replaced as `links` says.
    pub fn serve(self: &Arc<Self>, listener: TcpListener, links: BTreeMap<String, String>) {
        let store = Arc::clone(self);
        let links = Arc::new(links);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, links) = (Arc::clone(&store), Arc::clone(&links));
                thread::spawn(move || store.answer_all(stream, &links));
            }
        });
    }

    fn answer_all(&self, stream: TcpStream, links: &BTreeMap<String, String>) {
        let mut to = stream.try_clone().expect("a socket");
        let mut from = BufReader::new(stream);
        while let Ok(Some(req)) = read_request(&mut from) {
            if self.silent.load(Ordering::Relaxed) {
                // Until the caller closes.
                let _closed = read_request(&mut from);
                return;
            }
            let (status, mut body) = self.answer(req.path());
            for (replica, link) in links {
                body = body.replace(&format!("\"{replica}\""), &format!("\"{link}\""));
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if to.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(kind) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let number = |name: &str| value(name).and_then(|text| text.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        let Some(since) = number("watch") else {
            let after = value("after").unwrap_or("");
            let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
            let items = of_kind.filter(|((_, name), _)| name.as_str() > after);
            let mut items = items.map(|((_, name), (rev, spec))| object(name, *rev, spec));
            let (mut page, mut bytes) = (Vec::new(), 0);
            while bytes < PAGE_BYTES && page.len() < PAGE_ITEMS {
                let Some(item) = items.next() else {
                    break;
                };
                bytes += item.len();
                page.push(item);
            }
            let (page, more, rev) = (page.join(","), items.next().is_some(), state.rev);
            let body = format!(r#"{{"items":[{page}],"more":{more},"current_rev":{rev}}}"#);
            return ("200 OK", body);
        };
        let ends = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(rev, k, _)| *rev > since && k == kind);
            let (mut events, mut bytes, mut read_to) = (Vec::new(), 0, state.rev);
            for (rev, _, event) in changes {
                bytes += event.len();
                events.push(event.as_str());
                if bytes >= PAGE_BYTES || events.len() == PAGE_ITEMS {
                    read_to = *rev;
                    break;
                }
            }
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!(r#"{{"events":[{events}],"current_rev":{read_to}}}"#);
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// What differs between the sites of two cases.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub cpu_share: f64,
}

impl Default for Options {
    /// A machine of `tidewire-hq`.
    fn default() -> Self {
        Self {
            memory_mb: 260,
            max_fds: 4_200,
            cpu_share: 0.25,
        }
    }
}

/// A deployment. Its IP addresses are its own, so that ports are free.
#[derive(Debug)]
pub struct Site {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    net: [u8; 3],
    next_host: Mutex<u8>,
    folder: PathBuf,
    gateways: Mutex<Vec<SocketAddr>>,
}

impl Site {
    pub fn start(configuration: &str) -> Self {
        let pid = process::id();
        let (net, listener) = (0..2_000)
            .find_map(|n| {
                let number = pid.wrapping_mul(31).wrapping_add(n * 7);
                let net = [
                    127,
                    1 + (number % 250) as u8,
                    1 + (number / 250 % 250) as u8,
                ];
                let address =
                    SocketAddr::from((Ipv4Addr::new(net[0], net[1], net[2], 1), STORE_PORT));
                Some((net, TcpListener::bind(address).ok()?))
            })
            .expect("a free address");
        let store = Arc::new(Store::default());
        store.put("config", "main", configuration);
        store.serve(listener, BTreeMap::new());
        let folder = std::env::temp_dir().join(format!("briarhall-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            store,
            record: Arc::new(Record {
                began: Instant::now(),
                lines: Mutex::default(),
            }),
            net,
            next_host: Mutex::new(2),
            folder,
            gateways: Mutex::default(),
        }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        let mut next = self.next_host.lock().unwrap();
        let [a, b, c] = self.net;
        let host = *next;
        *next += 1;
        SocketAddr::from((Ipv4Addr::new(a, b, c, host), port))
    }

    pub fn replica_address(&self) -> SocketAddr {
        self.address(REPLICA_PORT)
    }

    /// Writes a replica's entry, as the replica would.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, born: u64) {
        self.register_as(id, service, address, born, "ready");
    }

    /// Writes the entry of a replica in this state.
    pub fn register_as(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        born: u64,
        replica_state: &str,
    ) {
        let spec = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"a","version":"v1","slots":16,"state":"{replica_state}","cold_left_ms":0,"seq":1,"born":{born}}}"#
        );
        self.store.put("servers", id, &spec);
    }

    /// Starts a gateway, which gets replicas' addresses as `links` says, and waits until it
    /// is ready.
    pub fn gateway(
        &self,
        name: &str,
        options: Options,
        links: BTreeMap<String, String>,
    ) -> Result<Gateway, String> {
        let machine = self.machine(name, options, links)?;
        let gateway = machine.start()?;
        let ends = Instant::now() + Duration::from_secs(10);
        while !machine.is_ready() {
            if Instant::now() > ends {
                return Err(format!("{name} isn't ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(gateway)
    }

    /// Writes the settings of a machine.
    pub fn machine(
        &self,
        name: &str,
        options: Options,
        links: BTreeMap<String, String>,
    ) -> Result<Machine, String> {
        let store = self.address(STORE_PORT);
        let listener = TcpListener::bind(store).map_err(|e| e.to_string())?;
        self.store.serve(listener, links);
        let own = self.address(0);
        let ip = own.ip();
        let at = |port: u16| SocketAddr::new(ip, port);
        let seeds = self.gateways.lock().unwrap().clone();
        let seeds = seeds.iter().take(3).map(|seed| format!("\"{seed}\""));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let Options {
            memory_mb,
            max_fds,
            cpu_share,
        } = options;
        let settings = format!(
            r#"{{"node":"{name}","role":"gateway","class":"front","serves":["front","control","directory"],
"ip":"{ip}","zone":"a","region":"r","zones":{{"a":"r"}},
"listen":{{"front":"{}","ready":"{}","control":"{}","directory":"{}"}},
"port_range":[{FIRST_PORT},{}],"seeds":[{seeds}],"bootstrap":true,"in_tolerance":false,
"limits":{{"cpu_share":{cpu_share},"cores":1,"memory_mb":{memory_mb},"max_fds":{max_fds},"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catchup_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"outer_ms":5000,"strict_revoke":false,"revoke_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_extra":102,"recover_s":12,"pass_ms":120,"retry_after_s":0,"stall_ms":1500,"hold_max_ms":20000,"free_ms":4000,"idle_max_ms":9000,"ttl_max_s":5}},
"platform":{{"addr":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            at(FRONT),
            at(READY),
            at(CONTROL),
            at(DIRECTORY),
            FIRST_PORT + 15,
        );
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).map_err(|e| e.to_string())?;
        self.gateways.lock().unwrap().push(at(CONTROL));
        Ok(Machine {
            front: at(FRONT),
            ready: at(READY),
            log: self.folder.join(format!("{name}.log")),
            settings: file,
        })
    }
}

/// A machine on which a gateway runs.
#[derive(Debug)]
pub struct Machine {
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Machine {
    /// Starts the gateway, with the command of the deploy file.
    pub fn start(&self) -> Result<Gateway, String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(GATEWAY)
            .env("BRIARHALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.map_err(|e| e.to_string())?)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("{GATEWAY}: {e}"))?;
        Ok(Gateway {
            front: self.front,
            child: Mutex::new(child),
        })
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let call = Call {
            to: self.ready,
            method: "GET",
            path: "/v1/readyz",
            id: "ready",
            deadline_ms: 500,
            headers: &[],
            body: "",
        };
        call.send().answer.is_some_and(|a| a.status() == 200)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            // It is only a temporary folder.
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A gateway process, which is killed on drop.
#[derive(Debug)]
pub struct Gateway {
    pub front: SocketAddr,
    child: Mutex<Child>,
}

impl Gateway {
    /// Returns the memory that the process holds, in kB.
    pub fn memory_kb(&self) -> Option<u64> {
        self.memory("VmRSS:")
    }

    /// Returns the most memory that it has held, in kB.
    pub fn peak_kb(&self) -> Option<u64> {
        self.memory("VmHWM:")
    }

    fn memory(&self, field: &str) -> Option<u64> {
        let pid = self.child.lock().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix(field))?;
        line.trim().strip_suffix("kB")?.trim().parse().ok()
    }

    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        // The process may have ended.
        let _killed = child.kill();
        let _status = child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Serves a replica: `answer` gets each request and returns whether the connection goes on.
pub fn serve_replica<F>(listener: TcpListener, answer: F)
where
    F: Fn(Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                // What waits in the system's buffers is no part of what a replica sends.
                let _set = stream.set_nodelay(true);
                let Ok(mut to) = stream.try_clone() else {
                    return;
                };
                let mut from = BufReader::new(stream);
                while let Ok(Some(req)) = read_request(&mut from) {
                    if !matches!(answer(req, &mut to), Ok(true)) {
                        return;
                    }
                }
            });
        }
    });
}
