//! Gateway processes, started with the command of the deploy file, and the platform that
//! stops, kills and restarts them.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::client;

const FRONT: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const DIRECTORY: u16 = 8224;
const FIRST_PORT: u16 = 7340;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Ids of the processes that run, to be ended with the script.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this script started.
fn signal_process(pid: u32, signal: i32) {
    let pid = i32::try_from(pid).expect("a process id");
    // SAFETY: `kill` takes two numbers and touches no memory.
    unsafe { kill(pid, signal) };
}

/// Kills every process that still runs.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        signal_process(pid, SIGKILL);
    }
}

/// The machines of a site.
#[derive(Debug, Clone)]
pub struct Machines {
    pub net: [u8; 3],
    pub store: SocketAddr,
    pub scratch: PathBuf,
    pub program: PathBuf,
}

impl Machines {
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.net;
        SocketAddr::from((Ipv4Addr::new(a, b, c, host), port))
    }
}

pub struct Gateway {
    pub name: String,
    site: Machines,
    host: u8,
    settings: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Gateway {
    /// Writes the settings of machine `host` and starts its process.
    pub fn start(site: &Machines, host: u8, seeds: &[u8], zone: &str) -> std::io::Result<Self> {
        let name = format!("front-{zone}-{host}");
        let at = |port: u16| site.address(host, port).to_string();
        let seeds = seeds
            .iter()
            .map(|host| format!("\"{}\"", site.address(*host, CONTROL)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let last_port = FIRST_PORT + 15;
        let text = format!(
            r#"{{"node":"{name}","role":"gateway","class":"front","serves":["front","control","directory"],
"ip":"{ip}","zone":"{zone}","region":"port-louis",
"zones":{{"hall-a":"port-louis","hall-b":"port-louis","hall-c":"port-louis"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}","directory":"{directory}"}},
"port_range":[{FIRST_PORT},{last_port}],"seeds":[{seeds}],"bootstrap":true,"in_tolerance":false,
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"],
"tolerate":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catchup_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"outer_ms":5000,"strict_revoke":false,"revoke_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_extra":106,"recover_s":12,"pass_ms":120,"retry_after_s":0,"stall_ms":1500,"hold_max_ms":20000,"free_ms":4000,"idle_max_ms":9000,"ttl_max_s":5}},
"platform":{{"addr":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            ip = site.address(host, 0).ip(),
            front = at(FRONT),
            ready = at(READY),
            control = at(CONTROL),
            directory = at(DIRECTORY),
            store = site.store,
        );
        let settings = site.scratch.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let mut gateway = Self {
            name,
            site: site.clone(),
            host,
            settings,
            child: None,
            starts: 0,
        };
        gateway.run()?;
        Ok(gateway)
    }

    /// Starts the process, as the platform does after it has ended.
    pub fn run(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        let log = self.log_path(self.starts);
        let mut command = Command::new(&self.site.program);
        // SAFETY: `prctl` is one system call and touches no memory.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("LANG", "C.UTF-8")
            .env("BRIARHALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(File::create(log.with_extension("err"))?)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    fn log_path(&self, start: u32) -> PathBuf {
        self.site.scratch.join(format!("{}-{start}.log", self.name))
    }

    /// Returns its log since its last start.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path(self.starts)).unwrap_or_default()
    }

    pub fn front(&self) -> SocketAddr {
        self.site.address(self.host, FRONT)
    }

    pub fn directory(&self) -> SocketAddr {
        self.site.address(self.host, DIRECTORY)
    }

    pub fn is_ready(&self) -> bool {
        let ready = self.site.address(self.host, READY);
        client::call(ready, "/v1/readyz").is_ok_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            signal_process(child.id(), signal);
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process has ended, with its exit status.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        let pid = self.child.take()?.id();
        RUNNING.lock().unwrap().retain(|running| *running != pid);
        Some(status.to_string())
    }
}
