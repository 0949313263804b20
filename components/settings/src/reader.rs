//! Typed access to the keys of an INI file. Validation errors are collected, so that one run
//! reports all of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ini::Ini;

use crate::validation_error::{ValidationError, ValidationErrors};

/// A parsed INI file, the validation errors found so far and the keys already read.
pub(crate) struct IniReader<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    errors: Vec<ValidationError>,
    read_keys: BTreeSet<(String, String)>,
}

impl<'a> IniReader<'a> {
    /// Parses `text`; `file` is the file name that errors show.
    pub fn new(file: &'a str, text: &'a str) -> Result<Self, ValidationErrors> {
        let ini = Ini::load_from_str(text).map_err(|error| ValidationErrors {
            file: file.to_string(),
            errors: vec![ValidationError {
                line: error.line + 1,
                location: "file".into(),
                message: error.msg.to_string(),
                remedy: "write `[section]` and `key = value` lines".into(),
            }],
        })?;
        Ok(IniReader {
            file,
            text,
            ini,
            errors: Vec::new(),
            read_keys: BTreeSet::new(),
        })
    }

    /// Names of the sections `[kind NAME]`, sorted and without duplicates; a duplicate section is an
    /// error.
    pub fn section_names(&mut self, kind: &str) -> Vec<String> {
        let prefix = format!("{kind} ");
        let names: Vec<String> = self
            .ini
            .sections()
            .flatten()
            .filter_map(|s| s.strip_prefix(&prefix))
            .map(|n| n.trim().to_string())
            .collect();
        let mut seen = BTreeSet::new();
        for name in &names {
            if !seen.insert(name.clone()) {
                let section = format!("{kind} {name}");
                self.add_error(&section, "", "stands twice", "keep one of the sections");
            }
        }
        seen.into_iter().collect()
    }

    pub fn has_key(&self, section: &str, key: &str) -> bool {
        self.ini.get_from(Some(section), key).is_some()
    }

    /// The trimmed value of a key. A missing key is an error unless there is a default.
    pub fn text(&mut self, section: &str, key: &str, default: Option<&str>) -> String {
        self.read_keys
            .insert((section.to_string(), key.to_string()));
        let value = self.ini.get_from(Some(section), key).or(default);
        match value {
            Some(value) => value.trim().to_string(),
            None => {
                self.add_error(section, key, "is missing", "add the key to its section");
                String::new()
            }
        }
    }

    /// A number in the given format, multiplied by its scale. An empty value or an error yields the
    /// minimum.
    pub fn number(
        &mut self,
        location: (&str, &str),
        default: Option<&str>,
        format: NumberFormat,
    ) -> i64 {
        let (section, key) = location;
        let text = self.text(section, key, default);
        if text.is_empty() {
            return format.min;
        }
        let number = text
            .strip_suffix(format.suffix)
            .map(str::trim)
            .and_then(|digits| parse_scaled(digits, format.scale));
        match number {
            Some(n) if (format.min..=format.max).contains(&n) => n,
            _ => {
                let message = format!("`{text}` cannot be used");
                self.add_error(section, key, &message, &format.remedy());
                format.min
            }
        }
    }

    /// The choice with the given name; an unknown name is an error. An empty value or an error
    /// yields the first choice.
    pub fn choice<T: Copy>(
        &mut self,
        location: (&str, &str),
        default: Option<&str>,
        choices: &[(&str, T)],
    ) -> T {
        let (section, key) = location;
        let text = self.text(section, key, default);
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return *value;
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let remedy = format!("use one of {}", names.join(", "));
        if !text.is_empty() {
            self.add_error(section, key, &format!("`{text}` is unknown"), &remedy);
        }
        choices[0].1
    }

    /// An IP address with a port. Host names are rejected; an empty value passes.
    pub fn socket_address(&mut self, section: &str, key: &str, default: Option<&str>) -> String {
        let text = self.text(section, key, default);
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            let message = format!("`{text}` is no address");
            self.add_error(
                section,
                key,
                &message,
                "write IP:PORT, such as 10.0.0.7:8080",
            );
        }
        text
    }

    /// A secret of at least `min_bytes` bytes; an empty value passes. Error messages never contain
    /// the secret.
    pub fn secret(&mut self, section: &str, key: &str, min_bytes: usize) -> String {
        let text = self.text(section, key, None);
        if !text.is_empty() && text.len() < min_bytes {
            let remedy = format!("use at least {min_bytes} random characters");
            self.add_error(section, key, "is too short", &remedy);
        }
        text
    }

    /// A comma-separated list; empty items are skipped.
    pub fn list(&mut self, section: &str, key: &str, default: Option<&str>) -> Vec<String> {
        self.text(section, key, default)
            .split(',')
            .map(|item| item.trim().to_string())
            .filter(|item| !item.is_empty())
            .collect()
    }

    /// Adds a validation error at a key, or at the section if `key` is empty.
    pub fn add_error(&mut self, section: &str, key: &str, message: &str, remedy: &str) {
        let location = match key {
            "" => section.to_string(),
            key => format!("{section}: {key}"),
        };
        self.errors.push(ValidationError {
            line: self.find_line(section, key),
            location,
            message: message.to_string(),
            remedy: remedy.to_string(),
        });
    }

    /// Returns `value` if there is no validation error. Each key in the file that was never read is
    /// an error, which finds misspelt keys.
    pub fn finish<T>(mut self, value: T) -> Result<T, ValidationErrors> {
        self.add_unknown_key_errors();
        if self.errors.is_empty() {
            return Ok(value);
        }
        self.errors.sort_by_key(|error| error.line);
        Err(ValidationErrors {
            file: self.file.to_string(),
            errors: self.errors,
        })
    }

    fn add_unknown_key_errors(&mut self) {
        let unknown: Vec<(String, String)> = self
            .ini
            .iter()
            .flat_map(|(section, keys)| {
                let section = section.unwrap_or_default().to_string();
                keys.iter()
                    .map(move |(key, _)| (section.clone(), key.to_string()))
            })
            .filter(|key| !self.read_keys.contains(key))
            .collect();
        for (section, key) in unknown {
            self.add_error(
                &section,
                &key,
                "is unknown here",
                "correct or remove the key",
            );
        }
    }

    // Line of the key, of its section if the key is missing, or 0 if both are.
    fn find_line(&self, section: &str, key: &str) -> usize {
        let mut is_in_section = section.is_empty();
        let mut section_line = 0;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                is_in_section = name.trim() == section;
                if is_in_section && section_line == 0 {
                    section_line = index + 1;
                }
            } else if is_in_section && !key.is_empty() {
                let name = line.split('=').next().unwrap_or_default().trim();
                if name == key {
                    return index + 1;
                }
            }
        }
        section_line
    }
}

/// Format of a number in a settings file: unit, scale and bounds.
#[derive(Clone, Copy)]
pub(crate) struct NumberFormat {
    /// Unit that follows the number, such as `ms`; empty for none.
    pub suffix: &'static str,
    /// Factor from the written to the stored number: a power of ten, so that decimals keep their
    /// value.
    pub scale: i64,
    /// Minimum of the stored number.
    pub min: i64,
    /// Maximum of the stored number.
    pub max: i64,
}

impl NumberFormat {
    /// A number without a unit, stored as it is written.
    pub const fn unscaled(min: i64, max: i64) -> Self {
        NumberFormat {
            suffix: "",
            scale: 1,
            min,
            max,
        }
    }

    /// A number with a unit, or without one if `suffix` is empty, that is stored times `scale`.
    pub const fn scaled(suffix: &'static str, scale: i64, min: i64, max: i64) -> Self {
        NumberFormat {
            suffix,
            scale,
            min,
            max,
        }
    }

    fn remedy(&self) -> String {
        let (min, max) = (self.min / self.scale, self.max / self.scale);
        format!(
            "write a number from {min} to {max} followed by `{}`",
            self.suffix
        )
        .replace(" followed by ``", "")
    }
}

// Multiplies a decimal number by `scale` in integer arithmetic: "1.5" at scale 1000 is 1500.
// Decimal places beyond those of `scale` are dropped.
fn parse_scaled(digits: &str, scale: i64) -> Option<i64> {
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let mut value = whole.parse::<i64>().ok()?.checked_mul(scale)?;
    let mut place_value = scale;
    for digit in fraction.chars() {
        place_value /= 10;
        value = value.checked_add(i64::from(digit.to_digit(10)?) * place_value)?;
    }
    Some(value)
}
