//! Guards against timelines that miss an entry, are out of order, or have
//! lines of other requests.

use briarhall_explain::read_lines;
use briarhall_explain::timeline;

fn line(second: &str, vm: &str, kv: &str) -> String {
    format!(
        "{second} {vm} {{\"level\":\"INFO\",\"timestamp\":\"2026-07-10 05:24:{second} +00:00\",\"kv\":{{{kv}}}}}\n"
    )
}

fn logs() -> String {
    [
        line(
            "01.000000",
            "vm-1",
            r#""event":"configuration","version":7"#,
        ),
        line(
            "02.000000",
            "vm-1",
            r#""event":"replica","replica":"i-1","belief":"ready""#,
        ),
        line(
            "03.100000",
            "vm-2",
            r#""event":"refused","request":"r-2","reason":"no_route""#,
        ),
        line(
            "03.000000",
            "vm-1",
            r#""event":"placed","request":"r-1","replica":"i-1","helpers":"i-2,i-3""#,
        ),
        line(
            "04.500000",
            "vm-1",
            r#""event":"replica","replica":"i-3","belief":"gone""#,
        ),
        line(
            "04.600000",
            "vm-1",
            r#""event":"replica","replica":"i-9","belief":"gone""#,
        ),
        line(
            "05.000000",
            "vm-1",
            r#""event":"stream_broken","request":"r-1","replica":"i-1""#,
        ),
        line(
            "05.250000",
            "vm-1",
            r#""event":"ended","request":"r-1","outcome":"broken""#,
        ),
        line(
            "09.000000",
            "vm-1",
            r#""event":"configuration","version":9"#,
        ),
        "not a log line\n".to_owned(),
        "{\"half\": \n".to_owned(),
    ]
    .concat()
}

#[test]
fn a_timeline_has_its_causes_in_order() {
    let lines = read_lines(&logs(), "file");
    let entries = timeline("r-1", &lines);
    let events = entries
        .iter()
        .map(|entry| (entry.since_ms, entry.line.event.as_str()));
    let wanted = [
        (-2_000, "configuration"),
        (-1_000, "replica"),
        (0, "placed"),
        (1_500, "replica"),
        (2_000, "stream_broken"),
        (2_250, "ended"),
    ];
    assert_eq!(events.collect::<Vec<_>>(), wanted);
    assert_eq!(
        entries[3].line.fields["replica"], "i-3",
        "status changes of helpers belong to the timeline"
    );
}

#[test]
fn lines_of_other_requests_are_left_out() {
    let lines = read_lines(&logs(), "file");
    let entries = timeline("r-2", &lines);
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].line.origin, "vm-2");
    assert!(timeline("r-3", &lines).is_empty());
}

#[test]
fn an_entry_is_displayed_as_one_line() {
    let lines = read_lines(&logs(), "file");
    let text = timeline("r-1", &lines)[5].to_string();
    assert!(text.contains("+2250 ms"), "{text}");
    assert!(text.contains("outcome=broken"), "{text}");
}
