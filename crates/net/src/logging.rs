//! Logs as JSON lines.
//!
//! Writing never waits: lines go through a bounded queue to a thread of their
//! own, and what does not fit is dropped, counted and reported by the next line
//! that fits.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::FormatFunction;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::json_format;
use flexi_logger::writers::LogWriter;
use log::Record;
use thiserror::Error;

/// tarpc logs two lines for each call at `info`.
const LIBRARY_LEVELS: &str = "tarpc=warn";
/// Lines that wait to be written; about a second of a busy gateway's.
const QUEUE_LINES: usize = 512;

/// Says why logging could not start.
#[derive(Debug, Error)]
#[error(
    "log levels `{levels}` are not understood: {source}; write a level, or pairs such as `info,briarhall_router=debug`"
)]
pub struct LogError {
    levels: String,
    source: FlexiLoggerError,
}

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard output.
    Stdout,
    /// Standard error, for programs whose standard output says something else.
    Stderr,
}

/// Keeps the logger alive.
#[must_use = "logging stops when this is dropped"]
pub struct Logging {
    _handle: LoggerHandle,
}

impl std::fmt::Debug for Logging {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Logging").finish_non_exhaustive()
    }
}

impl Logging {
    /// Starts logging at `levels`, such as `info` or
    /// `warn,briarhall_router=debug`.
    ///
    /// # Errors
    ///
    /// Returns an error when the levels are not understood.
    pub fn start(levels: &str, target: LogTarget) -> Result<Self, LogError> {
        let error = |source| LogError {
            levels: levels.to_owned(),
            source,
        };
        let handle = Logger::try_with_str(format!("{levels},{LIBRARY_LEVELS}"))
            .map_err(error)?
            .format(json_format)
            .log_to_writer(Box::new(Queue::start(target)))
            .start()
            .map_err(error)?;
        Ok(Self { _handle: handle })
    }
}

/// A bounded queue of lines before the thread that writes them.
struct Queue {
    tx: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
    format: FormatFunction,
}

impl Queue {
    fn start(target: LogTarget) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let started = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, target));
        if let Err(e) = started {
            // Nobody can be told but the terminal; the program runs on unlogged.
            eprintln!("cannot start the thread that writes logs: {e}");
        }
        Self {
            tx,
            dropped: AtomicU64::new(0),
            format: json_format,
        }
    }

    fn put(&self, line: Vec<u8>) {
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, target: LogTarget) {
    while let Ok(line) = rx.recv() {
        let written = match target {
            LogTarget::Stdout => io::stdout().lock().write_all(&line),
            LogTarget::Stderr => io::stderr().lock().write_all(&line),
        };
        if written.is_err() {
            // Whoever read the logs is gone; there is nowhere to say so.
            return;
        }
    }
}

/// Returns the line about lines that did not fit, shaped like all others.
#[must_use]
pub fn dropped_line(lines: u64) -> String {
    format!("{{\"level\":\"WARN\",\"kv\":{{\"event\":\"log_dropped\",\"lines\":{lines}}}}}\n")
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.put(dropped_line(dropped).into_bytes());
        }
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        self.put(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn format(&mut self, format: FormatFunction) {
        self.format = format;
    }
}
