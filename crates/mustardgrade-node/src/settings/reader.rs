//! A checked view of an INI file.

use std::path::Path;
use std::str::FromStr;

use ini::Ini;
use mustardgrade_core::rule::nearest_word;

use super::errors::{Result, SettingsError};

/// `SettingsReader` gives typed values of an INI file and errors with file and line.
#[derive(Debug)]
pub struct SettingsReader {
    file: String,
    text: String,
    ini: Ini,
}

impl SettingsReader {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is no INI file.
    pub fn open(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Unreadable { file: file.clone(), cause })?;
        Self::parse(&file, &text)
    }

    /// Reads the text of a file called `file`.
    ///
    /// # Errors
    ///
    /// Fails if the text is no INI file.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let ini =
            Ini::load_from_str_noescape(text).map_err(|error| SettingsError::InvalidLine {
                file: file.to_owned(),
                line: error.line + 1,
                cause: error.msg.into_owned(),
            })?;
        Ok(Self { file: file.to_owned(), text: text.to_owned(), ini })
    }

    /// Refuses sections and keys that are not in `known`.
    ///
    /// # Errors
    ///
    /// Fails at the first unknown section or key and names the nearest known one.
    pub fn check_keys(&self, known: &[(&str, &[&str])]) -> Result<()> {
        for (section, properties) in self.ini.iter() {
            let Some(section) = section else {
                match properties.iter().next() {
                    Some((key, _)) => {
                        let cause = format!("key '{key}' stands before the first section");
                        return Err(self.error_at_key(None, key, cause));
                    }
                    None => continue,
                }
            };
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

    /// Returns the text of a key, if it is set.
    #[must_use]
    pub fn text(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section))?.get(key).map(str::trim).filter(|text| !text.is_empty())
    }

    /// Returns the value of a key, if it is set.
    ///
    /// # Errors
    ///
    /// Fails if the text of the key is no such value.
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

    /// Returns the value of a key.
    ///
    /// # Errors
    ///
    /// Fails if the key is missing or its text is no such value.
    pub fn required<T: FromStr>(&self, section: &str, key: &str, expected: &str) -> Result<T> {
        self.optional(section, key, expected)?.ok_or_else(|| SettingsError::MissingKey {
            file: self.file.clone(),
            cause: match self.ini.section(Some(section)) {
                Some(_) => format!("section [{section}] lacks the key '{key}' ({expected})"),
                None => format!("section [{section}] is missing; it holds '{key}' ({expected})"),
            },
        })
    }

    /// Returns the comma-separated values of a key.
    ///
    /// # Errors
    ///
    /// Fails if any of them is no such value.
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

    /// Creates an error at a key.
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
        let header = |line: &str| {
            let name = line.trim().strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
            name.map(str::trim) == Some(section)
        };
        self.text.lines().position(header).map_or(1, |index| index + 1)
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
