//! Sections that follow an encoded heartbeat, each with its kind and length.
//!
//! A heartbeat without sections has the bytes that it had before there were any, and a
//! gateway skips sections whose kind it does not know.

use briarhall_policy::cold_replicas::ColdReport;
use briarhall_policy::delivery::DeliveryReport;
use briarhall_policy::shares_in_shortage::ShortageReport;
use serde::Serialize;

/// Kind of the section with usage by organisation.
const SHORTAGE: u8 = 1;
/// Kind of the section about replicas that may be cold.
const COLD: u8 = 2;
/// Kind of the section about the store's last position and the sender's lists.
const DELIVERY: u8 = 3;

/// The sections of a heartbeat.
#[derive(Debug, Default)]
pub struct Sections {
    /// What the sender knows of and sent to replicas that may be cold.
    pub cold: ColdReport,
    /// Usage by organisation.
    pub shortage: Option<ShortageReport>,
    /// The store's last position, and how far the sender's lists are complete.
    pub delivery: Option<DeliveryReport>,
}

impl Sections {
    /// Reads the sections that follow a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error when a section does not decode.
    pub fn read(mut bytes: &[u8]) -> postcard::Result<Self> {
        let mut sections = Self::default();
        while !bytes.is_empty() {
            let ((kind, content), rest) = postcard::take_from_bytes::<(u8, &[u8])>(bytes)?;
            match kind {
                SHORTAGE => sections.shortage = Some(postcard::from_bytes(content)?),
                COLD => sections.cold = postcard::from_bytes(content)?,
                DELIVERY => sections.delivery = Some(postcard::from_bytes(content)?),
                _ => {}
            }
            bytes = rest;
        }
        Ok(sections)
    }
}

/// Appends a report about replicas that may be cold.
///
/// # Panics
///
/// Never: postcard can encode every type in a report.
pub fn append_cold(bytes: &mut Vec<u8>, report: &ColdReport) {
    append(bytes, COLD, report);
}

/// Appends a shortage report.
///
/// # Panics
///
/// Never: postcard can encode every type in a report.
pub fn append_shortage(bytes: &mut Vec<u8>, report: &ShortageReport) {
    append(bytes, SHORTAGE, report);
}

/// Appends a report about the store's last position and the sender's lists.
///
/// # Panics
///
/// Never: postcard can encode every type in a report.
pub fn append_delivery(bytes: &mut Vec<u8>, report: &DeliveryReport) {
    append(bytes, DELIVERY, report);
}

fn append<T>(bytes: &mut Vec<u8>, kind: u8, report: &T)
where
    T: Serialize,
{
    let content = postcard::to_stdvec(report).expect("postcard can encode a report");
    let section = postcard::to_stdvec(&(kind, content.as_slice()));
    bytes.extend(section.expect("postcard can encode a section"));
}
