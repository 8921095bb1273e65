//! Detection of generated text in an event of a stream.
//!
//! A sidecar checks every event, so the visitor is hand-written to avoid allocations. A derived type would first build
//! the complete event.

use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Deserializes to `true` if `choices[*].delta.content` or `choices[*].text` is a non-empty string.
pub(crate) struct HasText(pub(crate) bool);

/// Deserializes to `true` from a non-empty string.
struct NonEmptyString(bool);

struct TextVisitor {
    /// Whether the value is a text field, so that a non-empty string in it counts as text.
    is_text_field: bool,
}

impl<'de> Deserialize<'de> for HasText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TextVisitor {
            is_text_field: false,
        })
    }
}

impl<'de> Deserialize<'de> for NonEmptyString {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let has_text = deserializer.deserialize_any(TextVisitor {
            is_text_field: true,
        })?;
        Ok(Self(has_text.0))
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
                "content" | "text" => found |= map.next_value::<NonEmptyString>()?.0,
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
        Ok(HasText(self.is_text_field && !text.is_empty()))
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
