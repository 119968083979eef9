//! Typed access to an INI file, with errors that name file and line.

use std::path::Path;
use std::str::FromStr;

use ini::Ini;
use mustardgrade_core::rule::nearest_word;

use super::errors::{Result, SettingsError};

/// `SettingsReader` parses values from an INI file and reports errors with file and line.
///
/// It keeps the text of the file, because the parsed form has no line numbers.
#[derive(Debug)]
pub struct SettingsReader {
    file: String,
    text: String,
    ini: Ini,
}

impl SettingsReader {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a valid INI file.
    pub fn open(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { file: file.clone(), cause })?;
        Self::parse(&file, &text)
    }

    /// Parses the text of a file; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid INI file.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let ini =
            Ini::load_from_str_noescape(text).map_err(|error| SettingsError::InvalidLine {
                file: file.to_owned(),
                line: error.line + 1,
                cause: error.msg.into_owned(),
            })?;
        Ok(Self { file: file.to_owned(), text: text.to_owned(), ini })
    }

    /// Checks that the file has only sections and keys that are in `known`, a list of sections with
    /// their keys.
    ///
    /// # Errors
    ///
    /// Fails at the first unknown section or key, and suggests a known name that is similar.
    pub fn check_keys(&self, known: &[(&str, &[&str])]) -> Result<()> {
        for (section, properties) in self.ini.iter() {
            let Some(section) = section else {
                match properties.iter().next() {
                    Some((key, _)) => {
                        let cause = format!("key '{key}' precedes the first section");
                        return Err(self.error_at_key(None, key, cause));
                    }
                    None => continue,
                }
            };
            // The parser reads a header without ']' up to the next ']', across lines.
            if let Some((header, _)) = section.split_once('\n') {
                let cause = format!("section header '[{header}' lacks its ']'");
                return Err(self.error_at_line(self.find_line_number(&format!("[{header}")), cause));
            }
            let sections = known.iter().map(|(name, _)| *name);
            let Some((_, keys)) = known.iter().find(|(name, _)| *name == section) else {
                let cause = describe_unknown_name("section", section, sections);
                return Err(self.error_at_line(self.section_line_number(section), cause));
            };
            for (key, _) in properties.iter() {
                if !keys.contains(&key) {
                    let cause = describe_unknown_name("key", key, keys.iter().copied());
                    return Err(self.error_at_key(Some(section), key, cause));
                }
            }
        }
        Ok(())
    }

    /// Returns the trimmed text of a key; `None` if it is missing or empty.
    #[must_use]
    pub fn text(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section))?.get(key).map(str::trim).filter(|text| !text.is_empty())
    }

    /// Parses the value of a key; `None` if it is missing or empty.
    ///
    /// # Errors
    ///
    /// Fails if the text cannot be parsed; the message contains `expected`, a description of valid
    /// values.
    pub fn optional<T: FromStr>(
        &self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Result<Option<T>> {
        let Some(text) = self.text(section, key) else { return Ok(None) };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => {
                let cause = format!("'{key}' is '{text}', expected {expected}");
                Err(self.error_at_key(Some(section), key, cause))
            }
        }
    }

    /// Parses the value of a mandatory key.
    ///
    /// # Errors
    ///
    /// Fails if the key is missing or empty, or its text cannot be parsed; the message contains
    /// `expected`, a description of valid values.
    pub fn required<T: FromStr>(&self, section: &str, key: &str, expected: &str) -> Result<T> {
        self.optional(section, key, expected)?.ok_or_else(|| SettingsError::MissingKey {
            file: self.file.clone(),
            cause: match self.ini.section(Some(section)) {
                Some(_) => format!("section [{section}] lacks the key '{key}' ({expected})"),
                None => format!("section [{section}] is missing; it holds '{key}' ({expected})"),
            },
        })
    }

    /// Parses the comma-separated values of a key; the list is empty if the key is missing.
    ///
    /// # Errors
    ///
    /// Fails if any of the values cannot be parsed.
    pub fn list<T: FromStr>(&self, section: &str, key: &str, expected: &str) -> Result<Vec<T>> {
        let text = self.text(section, key).unwrap_or_default();
        let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
        words
            .map(|word| {
                word.parse().map_err(|_cause| {
                    let cause = format!("'{key}' holds '{word}', expected {expected}");
                    self.error_at_key(Some(section), key, cause)
                })
            })
            .collect()
    }

    /// Creates an error at the line of a key, or at line 1 if the key is not found; `section` is
    /// `None` for keys that precede the first section.
    #[must_use]
    pub fn error_at_key(&self, section: Option<&str>, key: &str, cause: String) -> SettingsError {
        let mut current_section: Option<&str> = None;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                current_section = Some(name.trim());
            }
            let name = line.split(['=', ':']).next().map(str::trim);
            if current_section == section && name == Some(key) {
                return self.error_at_line(index + 1, cause);
            }
        }
        self.error_at_line(1, cause)
    }

    fn error_at_line(&self, line: usize, cause: String) -> SettingsError {
        SettingsError::InvalidLine { file: self.file.clone(), line, cause }
    }

    fn find_line_number(&self, text: &str) -> usize {
        self.text.lines().position(|line| line.trim() == text).map_or(1, |index| index + 1)
    }

    fn section_line_number(&self, section: &str) -> usize {
        let is_header = |line: &str| {
            let name = line.trim().strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
            name.map(str::trim) == Some(section)
        };
        self.text.lines().position(is_header).map_or(1, |index| index + 1)
    }
}

fn describe_unknown_name<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> String {
    match nearest_word(name, known) {
        Some(nearest) => format!("unknown {kind} '{name}'; did you mean '{nearest}'?"),
        None => format!("unknown {kind} '{name}'"),
    }
}
