//! Typed access to the keys of an INI file that collects faults instead of stopping at one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ini::Ini;

use crate::validation_error::{ValidationError, ValidationErrors};

/// A parsed file, the faults found so far and the keys already asked for.
pub(crate) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    faults: Vec<ValidationError>,
    asked: BTreeSet<(String, String)>,
}

impl<'a> Reader<'a> {
    /// Parses `text`; `file` names it in faults.
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
        Ok(Reader {
            file,
            text,
            ini,
            faults: Vec::new(),
            asked: BTreeSet::new(),
        })
    }

    /// Names of the sections `[kind NAME]`, in the order of the file.
    pub fn names(&mut self, kind: &str) -> Vec<String> {
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
                self.fault(&section, "", "stands twice", "keep one of the sections");
            }
        }
        seen.into_iter().collect()
    }

    /// Whether the key is present.
    pub fn has(&self, section: &str, key: &str) -> bool {
        self.ini.get_from(Some(section), key).is_some()
    }

    /// The raw value of a key; a missing one is a fault unless there is a default.
    pub fn text(&mut self, section: &str, key: &str, default: Option<&str>) -> String {
        self.asked.insert((section.to_string(), key.to_string()));
        let value = self.ini.get_from(Some(section), key).or(default);
        match value {
            Some(value) => value.trim().to_string(),
            None => {
                self.fault(section, key, "is missing", "add the key to its section");
                String::new()
            }
        }
    }

    /// A whole number within `range`, after one of the `units` if any is given.
    pub fn number(&mut self, at: (&str, &str), default: Option<&str>, unit: Unit) -> i64 {
        let (section, key) = at;
        let text = self.text(section, key, default);
        if text.is_empty() {
            return unit.least;
        }
        let number = text
            .strip_suffix(unit.suffix)
            .map(str::trim)
            .and_then(|digits| parse_scaled(digits, unit.scale));
        match number {
            Some(n) if (unit.least..=unit.most).contains(&n) => n,
            _ => {
                let message = format!("`{text}` cannot be used");
                self.fault(section, key, &message, &unit.remedy());
                unit.least
            }
        }
    }

    /// One of the named values.
    pub fn choice<T: Copy>(
        &mut self,
        at: (&str, &str),
        default: Option<&str>,
        among: &[(&str, T)],
    ) -> T {
        let (section, key) = at;
        let text = self.text(section, key, default);
        if let Some((_, value)) = among.iter().find(|(name, _)| *name == text) {
            return *value;
        }
        let names: Vec<&str> = among.iter().map(|(name, _)| *name).collect();
        let remedy = format!("use one of {}", names.join(", "));
        if !text.is_empty() {
            self.fault(section, key, &format!("`{text}` is unknown"), &remedy);
        }
        among[0].1
    }

    /// An address by IP number and port.
    pub fn address(&mut self, section: &str, key: &str, default: Option<&str>) -> String {
        let text = self.text(section, key, default);
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            let message = format!("`{text}` is no address");
            self.fault(
                section,
                key,
                &message,
                "write IP:PORT, such as 10.0.0.7:8080",
            );
        }
        text
    }

    /// A secret of at least `least` characters; its value appears in no fault.
    pub fn secret(&mut self, section: &str, key: &str, least: usize) -> String {
        let text = self.text(section, key, None);
        if !text.is_empty() && text.len() < least {
            let remedy = format!("use at least {least} random characters");
            self.fault(section, key, "is too short", &remedy);
        }
        text
    }

    /// A list parted by commas.
    pub fn list(&mut self, section: &str, key: &str, default: Option<&str>) -> Vec<String> {
        self.text(section, key, default)
            .split(',')
            .map(|item| item.trim().to_string())
            .filter(|item| !item.is_empty())
            .collect()
    }

    /// Records a fault at a key, or at the section when `key` is empty.
    pub fn fault(&mut self, section: &str, key: &str, message: &str, remedy: &str) {
        let location = match key {
            "" => section.to_string(),
            key => format!("{section}: {key}"),
        };
        self.faults.push(ValidationError {
            line: self.line_of(section, key),
            location,
            message: message.to_string(),
            remedy: remedy.to_string(),
        });
    }

    /// Ends the reading: `value` if there is no fault. Keys never asked for are faults too.
    pub fn finish<T>(mut self, value: T) -> Result<T, ValidationErrors> {
        self.fault_unknown_keys();
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(ValidationErrors {
            file: self.file.to_string(),
            errors: self.faults,
        })
    }

    fn fault_unknown_keys(&mut self) {
        let unknown: Vec<(String, String)> = self
            .ini
            .iter()
            .flat_map(|(section, keys)| {
                let section = section.unwrap_or_default().to_string();
                keys.iter()
                    .map(move |(key, _)| (section.clone(), key.to_string()))
            })
            .filter(|place| !self.asked.contains(place))
            .collect();
        for (section, key) in unknown {
            self.fault(
                &section,
                &key,
                "is unknown here",
                "correct or remove the key",
            );
        }
    }

    fn line_of(&self, section: &str, key: &str) -> usize {
        let mut inside = section.is_empty();
        let mut section_line = 0;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                inside = name.trim() == section;
                if inside && section_line == 0 {
                    section_line = index + 1;
                }
            } else if inside && !key.is_empty() {
                let name = line.split('=').next().unwrap_or_default().trim();
                if name == key {
                    return index + 1;
                }
            }
        }
        section_line
    }
}

/// Unit and bounds of a number.
#[derive(Clone, Copy)]
pub(crate) struct Unit {
    /// Text after the number, such as `ms`.
    pub suffix: &'static str,
    /// What one unit is worth in the stored number.
    pub scale: i64,
    /// Least stored number.
    pub least: i64,
    /// Greatest stored number.
    pub most: i64,
}

impl Unit {
    /// A number without a unit.
    pub const fn count(least: i64, most: i64) -> Self {
        Unit {
            suffix: "",
            scale: 1,
            least,
            most,
        }
    }

    /// A number with a unit.
    pub const fn of(suffix: &'static str, scale: i64, least: i64, most: i64) -> Self {
        Unit {
            suffix,
            scale,
            least,
            most,
        }
    }

    fn remedy(&self) -> String {
        let (least, most) = (self.least / self.scale, self.most / self.scale);
        format!(
            "write a number from {least} to {most} followed by `{}`",
            self.suffix
        )
        .replace(" followed by ``", "")
    }
}

// Decimal digits times a scale, without floating point: "1.5" at scale 1000 is 1500.
fn parse_scaled(digits: &str, scale: i64) -> Option<i64> {
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let mut value = whole.parse::<i64>().ok()?.checked_mul(scale)?;
    let mut place = scale;
    for digit in fraction.chars() {
        place /= 10;
        value = value.checked_add(i64::from(digit.to_digit(10)?) * place)?;
    }
    Some(value)
}
