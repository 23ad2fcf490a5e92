//! Logs as JSON lines.
//!
//! Logging never blocks: lines go through a bounded queue to a writer thread.
//! Lines that do not fit or are too long are dropped and counted, and a line with their number
//! is written before the next one.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::FormatFunction;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::json_format;
use flexi_logger::writers::LogWriter;
use log::Record;
use thiserror::Error;

/// Levels of libraries: tarpc logs two lines for each call at `info`.
const LIBRARY_LEVELS: &str = "tarpc=warn";
/// Lines that can wait to be written; a busy gateway logs about as many in a
/// second.
const QUEUE_LINES: usize = 512;
/// Longest line that is written. Callers choose some of the texts in it.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Time for which the end of a program waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two tries to ask for that while the queue is full.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(1);

/// An error that occurs when log levels cannot be parsed.
#[derive(Debug, Error)]
#[error(
    "cannot parse log levels `{levels}`: {source}; use a level, or pairs such as `info,briarhall_router=debug`"
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
    /// Standard error, for programs that print results to standard output.
    Stderr,
}

/// Keeps the logger running until dropped. Dropping it waits a moment until the last
/// lines are written.
#[must_use = "logging stops when this is dropped"]
pub struct Logging {
    _handle: LoggerHandle,
    tx: SyncSender<QueueItem>,
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
    /// Returns an error when the levels cannot be parsed.
    pub fn start(levels: &str, target: LogTarget) -> Result<Self, LogError> {
        let error = |source| LogError {
            levels: levels.to_owned(),
            source,
        };
        let queue = LogQueue::start(target);
        let tx = queue.tx.clone();
        let handle = Logger::try_with_str(format!("{levels},{LIBRARY_LEVELS}"))
            .map_err(error)?
            .format(json_format)
            .log_to_writer(Box::new(queue))
            .start()
            .map_err(error)?;
        Ok(Self {
            _handle: handle,
            tx,
        })
    }
}

impl Drop for Logging {
    fn drop(&mut self) {
        let ends = Instant::now() + FLUSH_TIMEOUT;
        let (written, is_written) = sync_channel(1);
        while let Err(e) = self.tx.try_send(QueueItem::Flush(written.clone())) {
            if matches!(e, TrySendError::Disconnected(_)) || Instant::now() >= ends {
                return;
            }
            thread::sleep(FLUSH_RETRY_DELAY);
        }
        drop(written);
        // Whoever reads the log may have stopped; the program ends all the same.
        let _written = is_written.recv_timeout(ends.saturating_duration_since(Instant::now()));
    }
}

/// What the writer thread does next.
enum QueueItem {
    Line(Vec<u8>),
    /// Answers once all lines before it are written.
    Flush(SyncSender<()>),
}

/// A bounded queue of lines for the writer thread.
struct LogQueue {
    tx: SyncSender<QueueItem>,
    dropped: AtomicU64,
    format: FormatFunction,
}

impl LogQueue {
    fn start(target: LogTarget) -> Self {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let started = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, target));
        if let Err(e) = started {
            // The program runs on without logs, so only the terminal can say so.
            eprintln!("cannot start the log writer thread: {e}");
        }
        Self {
            tx,
            dropped: AtomicU64::new(0),
            format: json_format,
        }
    }

    fn enqueue(&self, line: Vec<u8>) {
        if self.tx.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(rx: &Receiver<QueueItem>, target: LogTarget) {
    while let Ok(item) = rx.recv() {
        let line = match item {
            QueueItem::Line(line) => line,
            QueueItem::Flush(written) => {
                // The program may have ended its wait.
                let _waits = written.try_send(());
                continue;
            }
        };
        let written = match target {
            LogTarget::Stdout => io::stdout().lock().write_all(&line),
            LogTarget::Stderr => io::stderr().lock().write_all(&line),
        };
        if written.is_err() {
            // The reader of the log has closed it, so this cannot be logged.
            return;
        }
    }
}

/// Returns the line that reports dropped lines, in the format of all others.
#[must_use]
pub fn dropped_line(lines: u64) -> String {
    format!("{{\"level\":\"WARN\",\"kv\":{{\"event\":\"log_dropped\",\"lines\":{lines}}}}}\n")
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.enqueue(dropped_line(dropped).into_bytes());
        }
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if line.len() > MAX_LINE_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.enqueue(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn format(&mut self, format: FormatFunction) {
        self.format = format;
    }
}
