//! Tells whether an event of a stream carries generated text.
//!
//! A sidecar looks at every event. The visitor is written by hand because it copies nothing; a derived type would build
//! the whole event first.

use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Whether `choices[*].delta.content` or `choices[*].text` is a non-empty string.
pub(crate) struct HasText(pub(crate) bool);

/// Text field of a choice: a string counts if it is not empty.
struct TextField(bool);

struct TextVisitor {
    is_text: bool,
}

impl<'de> Deserialize<'de> for HasText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TextVisitor { is_text: false })
    }
}

impl<'de> Deserialize<'de> for TextField {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let found = deserializer.deserialize_any(TextVisitor { is_text: true })?;
        Ok(Self(found.0))
    }
}

impl<'de> Visitor<'de> for TextVisitor {
    type Value = HasText;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an event of a completion stream")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<HasText, A::Error> {
        let mut found = false;
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "choices" | "delta" => found |= map.next_value::<HasText>()?.0,
                "content" | "text" => found |= map.next_value::<TextField>()?.0,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(HasText(found))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<HasText, A::Error> {
        let mut found = false;
        while let Some(item) = items.next_element::<HasText>()? {
            found |= item.0;
        }
        Ok(HasText(found))
    }

    fn visit_str<E>(self, text: &str) -> Result<HasText, E> {
        Ok(HasText(self.is_text && !text.is_empty()))
    }

    fn visit_unit<E>(self) -> Result<HasText, E> {
        Ok(HasText(false))
    }

    fn visit_bool<E>(self, _: bool) -> Result<HasText, E> {
        Ok(HasText(false))
    }

    fn visit_u64<E>(self, _: u64) -> Result<HasText, E> {
        Ok(HasText(false))
    }

    fn visit_i64<E>(self, _: i64) -> Result<HasText, E> {
        Ok(HasText(false))
    }

    fn visit_f64<E>(self, _: f64) -> Result<HasText, E> {
        Ok(HasText(false))
    }
}
