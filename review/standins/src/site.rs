//! A small site: the store with a manifest, replicas, gateways and a record of it all.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::client::HOST;
use crate::client::KEY;
use crate::gateway::Machines;
use crate::store::Store;

/// Writes `record.txt`, with seconds since the start.
pub struct Record {
    file: Mutex<File>,
    pub began: Instant,
}

impl Record {
    pub fn create(path: &PathBuf) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let s = at.saturating_duration_since(self.began).as_secs_f64();
        let _result = writeln!(self.file.lock().unwrap(), "{s:8.3}  {text}");
    }

    /// Seconds from the start to `at`.
    pub fn s(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }
}

/// Draws addresses that nothing else uses, starts the store and writes the manifest.
pub fn start(scratch: PathBuf, program: PathBuf) -> std::io::Result<(Machines, Store)> {
    fs::create_dir_all(&scratch)?;
    let pid = std::process::id();
    let first = u8::try_from(pid % 200 + 20).expect("small");
    let mut second = u8::try_from(pid / 200 % 200 + 20).expect("small");
    let net = loop {
        let net = [127, first, second];
        let free = (1..=20).all(|host| {
            TcpListener::bind((Ipv4Addr::new(net[0], net[1], net[2], host), 9100)).is_ok()
        });
        if free {
            break net;
        }
        second = second.wrapping_add(1);
    };
    let mut machines = Machines {
        net,
        store: ([0, 0, 0, 0], 0).into(),
        scratch,
        program,
    };
    machines.store = machines.address(100, 8223);
    let store = Store::start(machines.store)?;
    store.put("config", "main", &manifest(1));
    Ok((machines, store))
}

/// Returns a manifest with a route for each kind of request.
pub fn manifest(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, attempts: u32, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout},"goal_ms":300,"priority":1,"service":"{service}","attempts":{attempts},"anonymous":false,{more}}}"#
        )
    };
    let routes = [
        route(
            "chat",
            "streaming",
            "fleet",
            10_000,
            2,
            r#""sticky":true,"resumable":true,"gap_goal_ms":250"#,
        ),
        route(
            "once-chat",
            "streaming",
            "fleet",
            10_000,
            1,
            r#""sticky":true,"resumable":false,"gap_goal_ms":250"#,
        ),
        route(
            "order",
            "non_idempotent",
            "app",
            10_000,
            1,
            r#""sticky":false,"resumable":false"#,
        ),
        route(
            "status",
            "idempotent",
            "app",
            10_000,
            2,
            r#""sticky":false,"resumable":false"#,
        ),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"fleet","health_path":"/healthz","max_conns":344,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_capacity":405000,"kv_bytes":163840,"link_mbps":400000.0,"stride":34,"models":[{{"name":"m"}}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":11323,"answer":1266}},"hop_ms":0.1}}}},{{"name":"app","health_path":"/healthz","max_conns":52,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
