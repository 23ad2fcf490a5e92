//! Sections that follow an encoded heartbeat, each with its kind and length.
//!
//! A heartbeat without sections has the bytes that it had before there were any, and a
//! gateway skips sections whose kind it does not know.

use briarhall_policy::shares_in_shortage::ShortageReport;

/// Kind of the section with usage by organisation.
const SHORTAGE: u8 = 1;

/// Appends a shortage report.
///
/// # Panics
///
/// Never: postcard can encode every type in a report.
pub fn append_shortage(bytes: &mut Vec<u8>, report: &ShortageReport) {
    let content = postcard::to_stdvec(report).expect("postcard can encode a report");
    let section = (SHORTAGE, content.as_slice());
    let section = postcard::to_stdvec(&section).expect("postcard can encode a section");
    bytes.extend(section);
}

/// Reads the shortage report among the sections.
///
/// # Errors
///
/// Returns an error when a section does not decode.
pub fn read_shortage(mut sections: &[u8]) -> postcard::Result<Option<ShortageReport>> {
    let mut found = None;
    while !sections.is_empty() {
        let ((kind, content), rest) = postcard::take_from_bytes::<(u8, &[u8])>(sections)?;
        if kind == SHORTAGE {
            found = Some(postcard::from_bytes::<ShortageReport>(content)?);
        }
        sections = rest;
    }
    Ok(found)
}
