//! Line numbers of the fields of a YAML file.
//!
//! Supports block style, in which settings are written; a field inside flow style
//! gets the line of its nearest enclosing field.

use std::collections::BTreeMap;

#[derive(Debug)]
struct OpenField {
    indent: usize,
    path: String,
    next_item: usize,
}

/// Lines of fields by path, such as `models[0].name`.
#[derive(Debug, Default)]
pub struct Lines {
    by_path: BTreeMap<String, usize>,
}

impl Lines {
    /// Scans a text.
    #[must_use]
    pub fn scan(text: &str) -> Self {
        let mut lines = Self::default();
        let mut open = Vec::<OpenField>::new();
        for (i, line) in text.lines().enumerate() {
            let content = line.trim_start();
            if content.is_empty() || content.starts_with('#') {
                continue;
            }
            let indent = line.len() - content.len();
            lines.scan_line(i + 1, indent, content, &mut open);
        }
        lines
    }

    fn scan_line(
        &mut self,
        number: usize,
        indent: usize,
        content: &str,
        open: &mut Vec<OpenField>,
    ) {
        if let Some(rest) = content.strip_prefix("- ") {
            // An item may have the same indent as its list's key.
            open.retain(|o| o.indent < indent || (o.indent == indent && !o.path.ends_with(']')));
            let Some(list) = open.last_mut() else {
                return;
            };
            let path = format!("{}[{}]", list.path, list.next_item);
            list.next_item += 1;
            self.by_path.insert(path.clone(), number);
            open.push(OpenField {
                indent,
                path,
                next_item: 0,
            });
            let inner = rest.trim_start();
            let inner_indent = indent + 2 + (rest.len() - inner.len());
            self.scan_key(number, inner_indent, inner, open);
            return;
        }
        open.retain(|o| o.indent < indent);
        self.scan_key(number, indent, content, open);
    }

    fn scan_key(&mut self, number: usize, indent: usize, content: &str, open: &mut Vec<OpenField>) {
        let Some((key, _)) = content.split_once(':') else {
            return;
        };
        let key = key.trim().trim_matches(['"', '\'']);
        let path = match open.last() {
            Some(parent) => format!("{}.{key}", parent.path),
            None => key.to_owned(),
        };
        self.by_path.insert(path.clone(), number);
        open.push(OpenField {
            indent,
            path,
            next_item: 0,
        });
    }

    /// Returns the line of a field, or of the nearest enclosing field.
    #[must_use]
    pub fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(line) = self.by_path.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 1,
            }
        }
    }
}
