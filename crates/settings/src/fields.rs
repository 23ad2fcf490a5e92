//! Reads the fields of a document and collects all errors in it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use thiserror::Error;

use crate::Document;

/// One error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    file: String,
    line: usize,
    field: String,
    message: String,
}

impl Finding {
    pub(crate) fn new(file: &str, line: usize, field: &str, message: String) -> Self {
        Self {
            file: file.to_owned(),
            line,
            field: field.to_owned(),
            message,
        }
    }

    /// Returns the line, or zero for an error about the whole file.
    #[must_use]
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the path of the field, empty for an error about the whole file.
    #[must_use]
    pub fn field(&self) -> &str {
        &self.field
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if self.field.is_empty() {
            write!(f, ": {}", self.message)
        } else {
            write!(f, ": `{}` {}", self.field, self.message)
        }
    }
}

/// All errors in a file, in line order.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    pub(crate) fn single(finding: Finding) -> Self {
        Self {
            findings: vec![finding],
        }
    }

    /// Returns the findings.
    #[must_use]
    pub fn all(&self) -> &[Finding] {
        &self.findings
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.findings.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

/// One mapping of a document, read field by field.
#[derive(Debug)]
pub struct Fields<'a> {
    document: &'a Document,
    path: String,
    values: Option<&'a Map<String, Value>>,
    known: BTreeSet<&'static str>,
    findings: Rc<RefCell<Vec<Finding>>>,
}

impl<'a> Fields<'a> {
    /// Returns the top-level mapping of a document.
    #[must_use]
    pub fn new(document: &'a Document) -> Self {
        let fields = Self {
            document,
            path: String::new(),
            values: document.value.as_object(),
            known: BTreeSet::new(),
            findings: Rc::default(),
        };
        if fields.values.is_none() {
            fields.record(
                "",
                "is not a mapping; write `field: value` lines".to_owned(),
            );
        }
        fields
    }

    /// Reads a required field.
    pub fn required<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let value = self.value(name);
        if value.is_none() && self.values.is_some() {
            self.problem(name, "is missing; add it");
        }
        self.convert(name, value?)
    }

    /// Reads an optional field.
    pub fn optional<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let value = self.value(name)?;
        self.convert(name, value)
    }

    /// Reads an optional field whose text `parse` converts.
    pub fn parsed<T, E, F>(&mut self, name: &'static str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, E>,
        E: fmt::Display,
    {
        let text = match self.value(name)? {
            Value::String(text) => text.clone(),
            // For example a number without its unit: the parser says what is missing.
            value => value.to_string(),
        };
        match parse(&text) {
            Ok(value) => Some(value),
            Err(e) => {
                self.problem(name, &format!("is invalid: {e}"));
                None
            }
        }
    }

    /// Reads a required nested mapping.
    pub fn section(&mut self, name: &'static str) -> Option<Fields<'a>> {
        let value = self.value(name);
        match value {
            Some(Value::Object(values)) => Some(self.nested(self.join(name), values)),
            Some(_) => {
                self.problem(
                    name,
                    "is not a mapping; write its fields below it, indented",
                );
                None
            }
            None => {
                self.problem(name, "is missing; add it");
                None
            }
        }
    }

    /// Reads an optional list of mappings.
    pub fn list(&mut self, name: &'static str) -> Vec<Fields<'a>> {
        let items = match self.value(name) {
            None => return Vec::new(),
            Some(Value::Array(items)) => items,
            Some(_) => {
                self.problem(name, "is not a list; start each entry with `- `");
                return Vec::new();
            }
        };
        let mut sections = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let path = format!("{}[{i}]", self.join(name));
            match item {
                Value::Object(values) => sections.push(self.nested(path, values)),
                _ => self.record(
                    &path,
                    "is not a mapping; write `field: value` lines".to_owned(),
                ),
            }
        }
        sections
    }

    /// Records an error in a field.
    pub fn problem(&self, name: &str, message: &str) {
        self.record(&self.join(name), message.to_owned());
    }

    /// Records an error for each field that was not read. Must be called after
    /// all known fields have been read.
    pub fn unknown_fields(&self) {
        let known = self.known.iter().copied().collect::<Vec<_>>().join(", ");
        let names = self.values.into_iter().flat_map(Map::keys);
        for name in names.filter(|name| !self.known.contains(name.as_str())) {
            self.problem(name, &format!("is not a known field; choose from {known}"));
        }
    }

    /// Returns `value` if the whole document has no errors.
    ///
    /// # Errors
    ///
    /// Returns the findings, if there are any.
    pub fn finish<T>(&self, value: Option<T>) -> Result<T, Findings> {
        let mut findings = self.findings.borrow().clone();
        match value {
            Some(value) if findings.is_empty() => Ok(value),
            None if findings.is_empty() => {
                let message = "is not complete; compare it with the example".to_owned();
                let file = &self.document.file;
                Err(Findings::single(Finding::new(file, 0, "", message)))
            }
            _ => {
                findings.sort_by_key(|finding| finding.line);
                Err(Findings { findings })
            }
        }
    }

    fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.insert(name);
        self.values?.get(name).filter(|value| !value.is_null())
    }

    fn convert<T>(&self, name: &str, value: &Value) -> Option<T>
    where
        T: DeserializeOwned,
    {
        match T::deserialize(value) {
            Ok(value) => Some(value),
            Err(e) => {
                self.problem(name, &format!("is invalid: {e}"));
                None
            }
        }
    }

    fn nested(&self, path: String, values: &'a Map<String, Value>) -> Fields<'a> {
        Fields {
            document: self.document,
            path,
            values: Some(values),
            known: BTreeSet::new(),
            findings: Rc::clone(&self.findings),
        }
    }

    fn join(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn record(&self, path: &str, message: String) {
        let line = self.document.lines.line_of(path);
        let finding = Finding::new(&self.document.file, line, path, message);
        self.findings.borrow_mut().push(finding);
    }
}
