//! Child processes that are killed when dropped.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value;

use super::SiteError;

/// Length of a clock tick in `/proc/PID/stat`, at 100 ticks per second.
const MILLIS_PER_TICK: u64 = 10;

static NEXT_DIR: AtomicU64 = AtomicU64::new(0);

/// A child process that has printed its startup line, a JSON object with its
/// addresses.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    startup_line: Value,
    log: PathBuf,
}

impl Process {
    /// Starts a program and waits for its startup line.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started or prints no startup line.
    pub fn start(
        program: &str,
        name: &str,
        args: &[String],
        dir: &Path,
    ) -> Result<Self, SiteError> {
        let path = program_path(program);
        let log = dir.join(format!("{name}.log"));
        let log_file = File::options().append(true).create(true).open(&log);
        let log_file = log_file.map_err(|source| SiteError::Write {
            path: log.clone(),
            source,
        })?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .spawn()
            .map_err(|source| SiteError::Start {
                program: path,
                source,
            })?;
        let startup_line = first_line(&mut child).unwrap_or_default();
        let process = Self {
            name: name.to_owned(),
            child,
            startup_line,
            log,
        };
        if process.startup_line.is_null() {
            return Err(process.not_listening());
        }
        Ok(process)
    }

    /// Returns an address from the startup line.
    ///
    /// # Errors
    ///
    /// Returns an error when the line does not have this address.
    pub fn address(&self, field: &str) -> Result<SocketAddr, SiteError> {
        let text = self.startup_line[field].as_str();
        let address = text.and_then(|text| text.parse().ok());
        address.ok_or_else(|| self.not_listening())
    }

    /// Returns a string from the startup line, empty if the line does not have it.
    #[must_use]
    pub fn text(&self, field: &str) -> String {
        self.startup_line[field]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }

    /// Asks the process to shut down, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process, with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process, with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns the exit code of an ended process, or `None` while it runs or if a
    /// signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten()?.code()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the CPU time used by all threads with this name.
    #[must_use]
    pub fn thread_time(&self, thread: &str) -> Duration {
        let dir = format!("/proc/{}/task", self.child.id());
        let tasks = fs::read_dir(dir).into_iter().flatten().flatten();
        let times = tasks.filter_map(|task| thread_ticks(&task.path(), thread));
        Duration::from_millis(times.sum::<u64>() * MILLIS_PER_TICK)
    }

    /// Returns the resident set size, in bytes, or zero if it cannot be read.
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok();
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // The process may have ended already.
            let _ended = rustix::process::kill_process(pid, signal);
        }
    }

    fn not_listening(&self) -> SiteError {
        SiteError::NotListening {
            name: self.name.clone(),
            log: self.log.clone(),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn first_line(child: &mut Child) -> Option<Value> {
    let out = child.stdout.take()?;
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).ok()?;
    serde_json::from_str(&line).ok()
}

/// Returns the CPU time of a thread in clock ticks, or `None` if it has another
/// name.
fn thread_ticks(task: &Path, name: &str) -> Option<u64> {
    let stat = fs::read_to_string(task.join("stat")).ok()?;
    let (head, tail) = stat.rsplit_once(')')?;
    if head.split_once('(')?.1 != name {
        return None;
    }
    let mut fields = tail.split_whitespace().skip(11);
    let user = fields.next()?.parse::<u64>().ok()?;
    let system = fields.next()?.parse::<u64>().ok()?;
    Some(user + system)
}

/// Returns the path of a program of the same build: in the directory of this
/// executable, or in its parent if this is a test, which cargo puts in `deps`.
fn program_path(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let mut dir = own.parent().unwrap_or(Path::new(".")).to_owned();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(program)
}

/// Runs a program to its end and returns its standard output.
pub(super) fn run_to_end(program: &str, args: &[String]) -> Result<String, SiteError> {
    let path = program_path(program);
    let output = Command::new(&path)
        .args(args)
        .output()
        .map_err(|source| SiteError::Start {
            program: path,
            source,
        })?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if output.status.success() {
        return Ok(text(&output.stdout));
    }
    Err(SiteError::Command {
        command: format!("{program} {}", args.join(" ")),
        output: text(&output.stderr),
    })
}

/// Creates a temporary directory for one site.
pub(super) fn work_dir() -> Result<PathBuf, SiteError> {
    let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    let name = format!("briarhall-lab-{}-{number}", process::id());
    let dir = std::env::temp_dir().join(name);
    let made = fs::create_dir_all(&dir);
    made.map_err(|source| write_error(&dir, source))?;
    Ok(dir)
}

/// Writes a file.
pub(super) fn write(path: &Path, text: &str) -> Result<(), SiteError> {
    fs::write(path, text).map_err(|source| write_error(path, source))
}

fn write_error(path: &Path, source: io::Error) -> SiteError {
    SiteError::Write {
        path: path.to_owned(),
        source,
    }
}
