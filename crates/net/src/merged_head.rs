//! Heads that two answers share.
//!
//! When an answer is cut within a line of its head and another one follows on the
//! connection, the status line of the second ends a line of the first, and the other lines
//! and the body of the second pass for those of the first.

use hyper::ext::ReasonPhrase;
use hyper::http::response;

const STATUS_LINE_START: &[u8] = b"HTTP/1.";
const CODE_DIGITS: usize = 3;

/// Returns whether a line of this head holds the status line of another answer. Which of
/// the two the body belongs to cannot be told.
#[must_use]
pub fn is_merged_head(parts: &response::Parts) -> bool {
    let reason = parts.extensions.get::<ReasonPhrase>();
    let values = parts.headers.values().map(AsRef::as_ref);
    let mut lines = values.chain(reason.map(ReasonPhrase::as_bytes));
    lines.any(holds_status_line)
}

fn holds_status_line(line: &[u8]) -> bool {
    let mut windows = line.windows(STATUS_LINE_START.len()).enumerate();
    windows.any(|(at, window)| {
        let rest = line.get(at + STATUS_LINE_START.len()..);
        window == STATUS_LINE_START && rest.is_some_and(is_version_and_code)
    })
}

/// Returns whether a minor version, a space and a status code stand here.
fn is_version_and_code(rest: &[u8]) -> bool {
    let [minor, b' ', code @ ..] = rest else {
        return false;
    };
    let digits = code.iter().take_while(|byte| byte.is_ascii_digit());
    minor.is_ascii_digit() && digits.count() == CODE_DIGITS
}
