//! Takes a document apart and collects all that is wrong with it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use thiserror::Error;

use crate::Document;

/// One thing wrong with a file.
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

    /// Returns the line, or zero when the whole file is meant.
    #[must_use]
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns the path of the field, empty when the whole file is meant.
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

/// Everything wrong with a file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    pub(crate) fn one(finding: Finding) -> Self {
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

/// One mapping of a document, taken apart field by field.
#[derive(Debug)]
pub struct Fields<'a> {
    document: &'a Document,
    path: String,
    values: Option<&'a Map<String, Value>>,
    known: BTreeSet<&'static str>,
    findings: Rc<RefCell<Vec<Finding>>>,
}

impl<'a> Fields<'a> {
    /// Starts with the whole document.
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
            fields.note(
                "",
                "is not a mapping; write `field: value` lines".to_owned(),
            );
        }
        fields
    }

    /// Takes a field that must be there.
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

    /// Takes a field that may be left out.
    pub fn optional<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let value = self.value(name)?;
        self.convert(name, value)
    }

    /// Takes a field with a text form of its own.
    pub fn parsed<T, E, F>(&mut self, name: &'static str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, E>,
        E: fmt::Display,
    {
        let text = match self.value(name)? {
            Value::String(text) => text.clone(),
            // Such as a number without its unit: the parser says what is missing.
            value => value.to_string(),
        };
        match parse(&text) {
            Ok(value) => Some(value),
            Err(e) => {
                self.problem(name, &format!("is wrong: {e}"));
                None
            }
        }
    }

    /// Takes a nested mapping that must be there.
    pub fn section(&mut self, name: &'static str) -> Option<Fields<'a>> {
        let value = self.value(name);
        match value {
            Some(Value::Object(values)) => Some(self.inside(self.join(name), values)),
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

    /// Takes a list of mappings, empty when left out.
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
                Value::Object(values) => sections.push(self.inside(path, values)),
                _ => self.note(
                    &path,
                    "is not a mapping; write `field: value` lines".to_owned(),
                ),
            }
        }
        sections
    }

    /// Notes that a field is wrong.
    pub fn problem(&self, name: &str, message: &str) {
        self.note(&self.join(name), message.to_owned());
    }

    /// Notes the fields that nobody took. Call it when all are taken.
    pub fn unknown_fields(&self) {
        let known = self.known.iter().copied().collect::<Vec<_>>().join(", ");
        let names = self.values.into_iter().flat_map(Map::keys);
        for name in names.filter(|name| !self.known.contains(name.as_str())) {
            self.problem(name, &format!("is not a known field; choose from {known}"));
        }
    }

    /// Returns what was taken, when nothing in the whole document is wrong.
    ///
    /// # Errors
    ///
    /// Returns the findings, when there are any.
    pub fn finish<T>(&self, taken: Option<T>) -> Result<T, Findings> {
        let mut findings = self.findings.borrow().clone();
        match taken {
            Some(taken) if findings.is_empty() => Ok(taken),
            None if findings.is_empty() => {
                let message = "is not complete; compare it with the example".to_owned();
                let file = &self.document.file;
                Err(Findings::one(Finding::new(file, 0, "", message)))
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
                self.problem(name, &format!("is wrong: {e}"));
                None
            }
        }
    }

    fn inside(&self, path: String, values: &'a Map<String, Value>) -> Fields<'a> {
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

    fn note(&self, path: &str, message: String) {
        let line = self.document.lines.of(path);
        let finding = Finding::new(&self.document.file, line, path, message);
        self.findings.borrow_mut().push(finding);
    }
}
