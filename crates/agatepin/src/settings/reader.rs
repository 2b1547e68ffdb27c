//! Reads the sections of a settings file and collects the errors of all of them.

use eyre::{Result, eyre};
use garde::Validate;
use serde::de::value::Error as FieldsError;
use serde::de::{DeserializeOwned, Deserializer, Error, Visitor};
use serde::forward_to_deserialize_any;
use toml::{Table, Value};

/// Settings of one daemon, which consist of sections (top-level tables).
pub trait SettingsFile: Sized {
    /// Takes the sections from `reader`; `None` if one of them is missing or cannot be parsed.
    fn read(reader: &mut SectionReader) -> Option<Self>;

    /// Checks the files that the settings refer to. The default implementation accepts all files.
    ///
    /// # Errors
    /// A file cannot be read or parsed.
    fn check_files(&self) -> Result<()> {
        Ok(())
    }
}

/// Returns the sections of one settings file by name and collects their errors.
#[derive(Debug)]
pub struct SectionReader {
    /// Sections that have not been taken yet, by name.
    table: Table,
    /// Errors found so far, each with the field that it concerns.
    errors: Vec<String>,
}

impl SectionReader {
    /// Parses and validates `text`.
    ///
    /// # Errors
    /// The text is not TOML, or a field is invalid. The error lists all invalid and unknown fields,
    /// one per line, but only the first missing field or wrong type of each section.
    pub fn parse<Settings>(text: &str) -> Result<Settings>
    where
        Settings: SettingsFile,
    {
        let mut reader = Self {
            table: text.parse()?,
            errors: Vec::new(),
        };
        let settings = Settings::read(&mut reader);
        let unknown_sections: Vec<_> = reader.table.keys().cloned().collect();
        for name in unknown_sections {
            reader.push_error(&name, "unknown section");
        }
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(eyre!("{}", reader.errors.join("\n"))),
        }
    }

    /// Takes and validates the section `name`. If it is missing or cannot be parsed, records the
    /// error and returns `None`.
    pub fn required<Section>(&mut self, name: &str) -> Option<Section>
    where
        Section: DeserializeOwned + Validate<Context = ()>,
    {
        let Some(value) = self.table.remove(name) else {
            self.push_error(name, "section is missing");
            return None;
        };
        self.read_section(name, value)
    }

    /// Takes and validates the section `name`, or returns its defaults if it is missing. If it
    /// cannot be parsed, records the error and returns `None`.
    pub fn optional<Section>(&mut self, name: &str) -> Option<Section>
    where
        Section: DeserializeOwned + Default + Validate<Context = ()>,
    {
        match self.table.remove(name) {
            Some(value) => self.read_section(name, value),
            None => Some(Section::default()),
        }
    }

    /// Records the error `message` about `field`, a path such as `link.shared_key`.
    pub fn push_error(&mut self, field: &str, message: &str) {
        self.errors.push(format!("{field}: {message}"));
    }

    fn read_section<Section>(&mut self, name: &str, value: Value) -> Option<Section>
    where
        Section: DeserializeOwned + Validate<Context = ()>,
    {
        let Value::Table(mut table) = value else {
            self.push_error(name, "is not a section");
            return None;
        };
        let known_fields = struct_fields::<Section>();
        let unknown_fields: Vec<_> = table
            .keys()
            .filter(|key| !known_fields.contains(&key.as_str()))
            .cloned()
            .collect();
        for key in unknown_fields {
            table.remove(&key);
            self.push_error(&format!("{name}.{key}"), "unknown field");
        }
        let section: Section = match table.try_into() {
            Ok(section) => section,
            Err(err) => {
                let message = err.to_string().trim_end().replace('\n', " ");
                self.push_error(name, &message);
                return None;
            }
        };
        if let Err(report) = section.validate() {
            for (path, error) in report.iter() {
                self.push_error(&format!("{name}.{path}"), error.message());
            }
        }
        Some(section)
    }
}

/// Names of the fields that `Section` deserialises; empty if it is not a struct.
#[must_use]
pub fn struct_fields<Section>() -> &'static [&'static str]
where
    Section: DeserializeOwned,
{
    let mut fields: &'static [&'static str] = &[];
    let outcome = Section::deserialize(FieldsProbe {
        fields: &mut fields,
    });
    drop(outcome);
    fields
}

/// Deserialiser that stores the field names that a struct requests, and then always fails.
struct FieldsProbe<'a> {
    fields: &'a mut &'static [&'static str],
}

impl<'de> Deserializer<'de> for FieldsProbe<'_> {
    type Error = FieldsError;

    fn deserialize_any<Output>(self, _visitor: Output) -> Result<Output::Value, FieldsError>
    where
        Output: Visitor<'de>,
    {
        Err(FieldsError::custom("not a struct"))
    }

    fn deserialize_struct<Output>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        _visitor: Output,
    ) -> Result<Output::Value, FieldsError>
    where
        Output: Visitor<'de>,
    {
        *self.fields = fields;
        Err(FieldsError::custom("field names stored"))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf option unit
        unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}
