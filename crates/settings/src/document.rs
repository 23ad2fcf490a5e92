//! A YAML file parsed into untyped values.

use std::fs;
use std::path::Path;

use serde_json::Value;

use crate::Finding;
use crate::Findings;
use crate::lines::Lines;

/// A YAML file: its values, and the line of each field.
#[derive(Debug)]
pub struct Document {
    pub(crate) file: String,
    pub(crate) value: Value,
    pub(crate) lines: Lines,
}

impl Document {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is not YAML.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| {
            let message = format!("cannot be read: {e}; check the path and its permissions");
            Findings::single(Finding::new(&file, 0, "", message))
        })?;
        Self::parse(&file, &text)
    }

    /// Parses text; findings name `file` as its origin.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not YAML.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let value = serde_saphyr::from_str::<Value>(text).map_err(|e| {
            let line = e
                .location()
                .map_or(0, |location| usize::try_from(location.line()).unwrap_or(0));
            let first = e.to_string();
            let first = first.lines().next().unwrap_or("not YAML").to_owned();
            let message = format!("is not valid YAML: {first}; fix the line and check again");
            Findings::single(Finding::new(file, line, "", message))
        })?;
        Ok(Self {
            file: file.to_owned(),
            value,
            lines: Lines::scan(text),
        })
    }
}
