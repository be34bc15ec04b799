//! Strict parsing of JSON bodies.
//!
//! serde accepts a struct as an array of its fields, with defaults for missing ones, and keeps only
//! the last of several equal keys of a map. Both hide mistakes: `"pool": []` would be a pool
//! without a floor, and the first of two entries for one VM would be lost.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::Map;
use serde_json::Value;

/// Parses a body; rejects arrays in place of objects and duplicate keys.
pub(super) fn parse<T: DeserializeOwned + Serialize>(body: &[u8]) -> Result<T, String> {
    let show = |error: serde_json::Error| error.to_string();
    // Parsed into the type first, because these errors have a line and column.
    let parsed: T = serde_json::from_slice(body).map_err(show)?;
    let UniqueValue(given) = serde_json::from_slice(body).map_err(show)?;
    let complete = serde_json::to_value(&parsed).map_err(show)?;
    check_objects("body", &given, &complete)?;
    Ok(parsed)
}

/// Checks that the given value has an object wherever the complete value has one.
fn check_objects(path: &str, given: &Value, complete: &Value) -> Result<(), String> {
    match (given, complete) {
        (Value::Object(given), Value::Object(complete)) => {
            for (key, value) in given {
                if let Some(complete) = complete.get(key) {
                    check_objects(&format!("{path}/{key}"), value, complete)?;
                }
            }
            Ok(())
        }
        (Value::Array(given), Value::Array(complete)) => {
            for (index, (given, complete)) in given.iter().zip(complete).enumerate() {
                check_objects(&format!("{path}/{index}"), given, complete)?;
            }
            Ok(())
        }
        (_, Value::Object(_)) => Err(format!("{path}: an object is needed")),
        _ => Ok(()),
    }
}

/// A JSON value whose deserialization rejects duplicate keys in an object.
struct UniqueValue(Value);

impl<'de> Deserialize<'de> for UniqueValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(UniqueValueVisitor).map(Self)
    }
}

struct UniqueValueVisitor;

impl<'de> Visitor<'de> for UniqueValueVisitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::from(value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(UniqueValue(item)) = access.next_element()? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = access.next_key::<String>()? {
            let UniqueValue(value) = access.next_value()?;
            if object.contains_key(&key) {
                return Err(A::Error::custom(format!("{key:?} is given twice")));
            }
            object.insert(key, value);
        }
        Ok(Value::Object(object))
    }
}
