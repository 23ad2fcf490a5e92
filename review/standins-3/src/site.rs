//! A small deployment on loopback addresses: the store, replicas and gateways.

use std::collections::hash_map::RandomState;
use std::fs;
use std::fs::File;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::store::Store;

const FRONT: u16 = 8_227;
const READY: u16 = 8_220;
const CONTROL: u16 = 8_229;
const DIRECTORY: u16 = 8_224;
const FIRST_PORT: u16 = 7_340;

/// Writes `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _full = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}

/// A random loopback network for one run: `127.x.y.`.
pub fn network() -> String {
    let random = || RandomState::new().build_hasher().finish();
    format!("127.{}.{}.", 20 + random() % 200, 1 + random() % 250)
}

/// Starts a replica: each request goes to `handle`, with the connection it came on.
pub fn replica<H>(ip: &str, handle: H) -> SocketAddr
where
    H: Fn(Message, TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind((ip, 0)).expect("an address for a replica");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _result = stream.set_nodelay(true);
                if let Ok(Some(request)) = http::read_request(&mut stream) {
                    handle(request, stream);
                }
            });
        }
    });
    address
}

/// Registers a replica as ready.
pub fn register(store: &Store, id: &str, service: &str, address: SocketAddr, slots: u32) {
    let spec = format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}"
    );
    store.put("servers", id, &spec);
}

/// Writes a whole answer of a sound replica.
pub fn answer(stream: &mut TcpStream, request: &Message, id: &str, status: &str, body: &str) {
    let request_id = request.header("request-id").unwrap_or("");
    let text = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nReplica-Id: {id}\r\nResponse-Stamp: {id}.{request_id}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _gone = stream.write_all(text.as_bytes());
}

/// A gateway process, started as the deploy file says.
pub struct Gateway {
    pub ip: String,
    child: Child,
    settings: PathBuf,
}

impl Gateway {
    pub fn start(ip: &str, store: &Store, seeds: &[&str]) -> Self {
        let zones = "{\"zone-a\":\"region-1\"}";
        let seeds = seeds.iter().map(|ip| format!("\"{ip}:{CONTROL}\""));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let text = format!(
            "{{\"node\":\"front-{ip}\",\"role\":\"gateway\",\"class\":\"front\",\"serves\":[\"front\",\"control\",\"directory\"],\"ip\":\"{ip}\",\"zone\":\"zone-a\",\"region\":\"region-1\",\"zones\":{zones},\"listen\":{{\"front\":\"{ip}:{FRONT}\",\"ready\":\"{ip}:{READY}\",\"control\":\"{ip}:{CONTROL}\",\"directory\":\"{ip}:{DIRECTORY}\"}},\"port_range\":[{FIRST_PORT},{}],\"seeds\":[{seeds}],\"bootstrap\":true,\"in_tolerance\":false,\"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4200,\"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"directory\",\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"spans\"],\"tolerate\":{{\"machines\":2,\"zones\":0,\"regions\":0}},\"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":3000,\"ack_ms\":4000,\"catchup_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_ms\":2000,\"rollback_slack_ms\":250,\"outer_ms\":5000,\"strict_revoke\":false,\"revoke_ms\":5000,\"budget_ratio\":0.2,\"budget_window_s\":10,\"budget_extra\":102,\"recover_s\":12,\"pass_ms\":120,\"retry_after_s\":0,\"stall_ms\":1500,\"hold_max_ms\":20000,\"free_ms\":4000,\"idle_max_ms\":9000,\"ttl_max_s\":5}},\"platform\":{{\"addr\":\"{}\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}}}",
            FIRST_PORT + 15,
            store.address,
        );
        let settings = std::env::temp_dir().join(format!("review-3-{}-{ip}.json", process::id()));
        fs::write(&settings, text).expect("a settings file");
        let log = std::env::var("GATEWAY_LOG").ok().and_then(|path| {
            File::create(format!("{path}.{ip}")).ok()
        });
        let child = Command::new("target/release/briarhall-gateway")
            .env("BRIARHALL_NODE_FILE", &settings)
            .stdout(log.map_or_else(Stdio::null, Stdio::from))
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/briarhall-gateway starts; build it first");
        Self {
            ip: ip.to_owned(),
            child,
            settings,
        }
    }

    pub fn front(&self) -> SocketAddr {
        self.at(FRONT)
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.parse::<IpAddr>().expect("an address"), port)
    }

    /// Asks whether the gateway is ready; returns the status, or 0 without an answer.
    pub fn ready(&self) -> u16 {
        self.ready_check()()
    }

    /// Returns what asks it, for a thread of its own.
    pub fn ready_check(&self) -> impl Fn() -> u16 + Send + 'static {
        let address = self.at(READY);
        move || {
            let request = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            http::call(address, request.as_bytes(), Duration::from_secs(1)).status()
        }
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.ready() == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal: `TERM`, `STOP`, `CONT`.
    #[allow(dead_code)]
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let _status = Command::new("sh").arg("-c").arg(kill).status();
    }

    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
        let _removed = fs::remove_file(&self.settings);
    }
}
