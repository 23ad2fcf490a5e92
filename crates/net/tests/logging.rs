//! Log lines that the logger writes about itself.

use briarhall_net::dropped_line;
use serde_json::Value;

#[test]
fn the_line_that_reports_dropped_lines_has_the_format_of_all_others() {
    let line = dropped_line(7);
    assert!(line.ends_with('\n'));
    let line = serde_json::from_str::<Value>(&line).expect("it is JSON");
    assert_eq!(line["kv"]["event"], "log_dropped");
    assert_eq!(line["kv"]["lines"], 7);
}
