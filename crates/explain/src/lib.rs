//! One request's timeline, from the log lines of one or several gateways.
//!
//! Besides the lines that name the request, the timeline has the state that the
//! gateways acted on: the configuration that was applied last, and status
//! changes of the replicas that those lines name.

use std::collections::BTreeSet;
use std::fmt;
use std::fmt::Display;

use compact_str::CompactString;
use serde_json::Map;
use serde_json::Value;

/// Time before a request's first line from which status changes of its replicas
/// belong to the timeline, in milliseconds.
const STATUS_CHANGES_BEFORE_MS: i64 = 15_000;

/// A log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Source of the line: a VM or a file.
    pub origin: CompactString,
    /// Time in milliseconds, for ordering; the epoch is the same for all lines.
    pub at_ms: i64,
    /// Name of the event.
    pub event: CompactString,
    /// Its other fields.
    pub fields: Map<String, Value>,
}

/// A line of the timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct TimelineEntry {
    /// Milliseconds since the request's first line; negative before it.
    pub since_ms: i64,
    /// The line.
    pub line: Line,
}

/// Reads log lines. The last word before a line's JSON, if any, is its origin
/// instead of `origin`; lines that are not log lines are skipped.
#[must_use]
pub fn read_lines(text: &str, origin: &str) -> Vec<Line> {
    let lines = text.lines().filter_map(|text| read_line(text, origin));
    lines.collect()
}

fn read_line(text: &str, origin: &str) -> Option<Line> {
    let (before, json) = text.split_at(text.find('{')?);
    let document = serde_json::from_str::<Value>(json).ok()?;
    let mut fields = document.get("kv")?.as_object()?.clone();
    let event = fields.remove("event")?;
    let prefix = before.split_whitespace().next_back();
    Some(Line {
        origin: CompactString::from(prefix.unwrap_or(origin)),
        at_ms: parse_millis(document.get("timestamp")?.as_str()?)?,
        event: CompactString::from(event.as_str()?),
        fields,
    })
}

/// Reads the time of a line, such as `2026-07-10 05:24:00.027348 +00:00`, as
/// milliseconds; days count from year 0 as if every month had 31.
fn parse_millis(text: &str) -> Option<i64> {
    let mut parts = text.split_whitespace();
    let mut date = parts.next()?.splitn(3, '-').map(str::parse::<i64>);
    let mut next = || date.next()?.ok();
    let days = (next()? * 12 + next()?) * 31 + next()?;
    let mut time = parts.next()?.splitn(3, ':');
    let hours = time.next()?.parse::<i64>().ok()?;
    let minutes = time.next()?.parse::<i64>().ok()?;
    let (seconds, fraction) = time.next()?.split_once('.')?;
    let fraction = format!("{fraction:0<3}");
    let millis = fraction.get(..3)?.parse::<i64>().ok()?;
    let seconds = seconds.parse::<i64>().ok()?;
    Some((((days * 24 + hours) * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}

/// Returns the timeline of a request in order of time, empty when no line names
/// the request.
#[must_use]
pub fn timeline(request: &str, lines: &[Line]) -> Vec<TimelineEntry> {
    let own = lines.iter().filter(|line| line.text("request") == request);
    let own = own.collect::<Vec<_>>();
    let times = own.iter().map(|line| line.at_ms);
    let Some((first, last)) = times.clone().min().zip(times.max()) else {
        return Vec::new();
    };
    let origins = own.iter().map(|line| &line.origin).collect::<BTreeSet<_>>();
    let used_replicas = own
        .iter()
        .flat_map(|line| line.replicas())
        .collect::<BTreeSet<_>>();
    let status_changes = lines.iter().filter(|line| {
        line.event == "replica"
            && origins.contains(&line.origin)
            && used_replicas.contains(line.text("replica"))
            && (first - STATUS_CHANGES_BEFORE_MS..=last).contains(&line.at_ms)
    });
    let configurations = origins.iter().filter_map(|origin| {
        let applied = lines.iter().filter(|line| {
            line.event == "configuration" && line.origin == **origin && line.at_ms <= first
        });
        applied.max_by_key(|line| line.at_ms)
    });
    let mut entries = own
        .iter()
        .copied()
        .chain(status_changes)
        .chain(configurations);
    let mut entries = entries.by_ref().map(|line| TimelineEntry {
        since_ms: line.at_ms - first,
        line: line.clone(),
    });
    let mut entries = entries.by_ref().collect::<Vec<_>>();
    entries.sort_by_key(|entry| entry.since_ms);
    entries
}

impl Line {
    fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Returns the replicas that the line names.
    fn replicas(&self) -> impl Iterator<Item = &str> {
        let helpers = self.text("helpers").split(',');
        let all = helpers.chain([self.text("replica")]);
        all.filter(|id| !id.is_empty())
    }
}

impl Display for TimelineEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Line {
            origin,
            event,
            fields,
            ..
        } = &self.line;
        write!(f, "{:>+8} ms  {origin:<22} {event:<16}", self.since_ms)?;
        for (name, value) in fields.iter().filter(|(name, _)| *name != "request") {
            match value {
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                Value::Number(number) => match number.as_f64().filter(|n| n.fract() != 0.0) {
                    Some(fraction) => write!(f, " {name}={fraction:.1}")?,
                    None => write!(f, " {name}={number}")?,
                },
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}
