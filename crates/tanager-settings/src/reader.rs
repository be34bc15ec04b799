//! Reads an INI file key by key and reports missing, duplicate and unknown keys.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use ini::Ini;
use ini::ParseOption;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

/// An INI file and the keys that were requested from it.
pub(crate) struct SettingsReader {
    file: String,
    ini: Ini,
    requested: BTreeSet<(String, String)>,
}

impl SettingsReader {
    pub(crate) fn open(path: &Path) -> TanagerResult<Self> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| TanagerError::new(ErrorKind::Invalid, "settings", &file, error))?;
        Self::parse(&file, &text)
    }

    pub(crate) fn parse(file: &str, text: &str) -> TanagerResult<Self> {
        // Disabled, because escapes and quotes would make a value differ from the text in the file.
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|error| TanagerError::new(ErrorKind::Invalid, "settings", file, error))?;
        Ok(Self {
            file: file.to_owned(),
            ini,
            requested: BTreeSet::new(),
        })
    }

    /// Reads a key that must be present.
    pub(crate) fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> TanagerResult<T> {
        match self.find_value(section, key)? {
            Some(text) => self.parse_value(section, key, &text, parse),
            None => Err(self.error(section, key, "missing value")),
        }
    }

    /// Reads a key that has a default.
    pub(crate) fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl Fn(&str) -> Result<T, String>,
        default: &str,
    ) -> TanagerResult<T> {
        let text = self
            .find_value(section, key)?
            .unwrap_or_else(|| default.to_owned());
        self.parse_value(section, key, &text, parse)
    }

    /// Returns an error for the first key or section that was never requested.
    pub(crate) fn reject_unknown(self) -> TanagerResult<()> {
        let sections: BTreeSet<&str> = self
            .requested
            .iter()
            .map(|(section, _)| section.as_str())
            .collect();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or("");
            for (key, _) in properties {
                if !self
                    .requested
                    .contains(&(section.to_owned(), key.to_owned()))
                {
                    return Err(self.error(section, key, "unknown key"));
                }
            }
            if !section.is_empty() && !sections.contains(section) {
                return Err(self.error(section, "", "unknown section"));
            }
        }
        Ok(())
    }

    fn find_value(&mut self, section: &str, key: &str) -> TanagerResult<Option<String>> {
        self.requested.insert((section.to_owned(), key.to_owned()));
        let mut values: Vec<&str> = Vec::new();
        for properties in self.ini.section_all(Some(section)) {
            values.extend(properties.get_all(key));
        }
        match values.as_slice() {
            [] => Ok(None),
            [""] => Err(self.error(section, key, "empty value")),
            [value] => Ok(Some((*value).to_owned())),
            _ => Err(self.error(section, key, "duplicate key")),
        }
    }

    fn parse_value<T>(
        &self,
        section: &str,
        key: &str,
        text: &str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> TanagerResult<T> {
        parse(text).map_err(|expected_form| {
            let message = format!("{text:?} is not valid; expected {expected_form}");
            self.error(section, key, &message)
        })
    }

    fn error(&self, section: &str, key: &str, message: &str) -> TanagerError {
        let location = if key.is_empty() {
            format!("[{section}]")
        } else {
            format!("[{section}] {key}")
        };
        TanagerError::new(
            ErrorKind::Invalid,
            "settings",
            self.file.clone(),
            format!("{location}: {message}"),
        )
    }
}
