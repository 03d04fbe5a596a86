//! Application of patches to a document.

use crate::ConfigurationError;
use simd_json::borrowed::Object;
use simd_json::prelude::*;
use simd_json::{BorrowedValue, ValueType};

/// Top-level fields of the document that a patch replaces as a whole.
const REPLACED_FIELDS: [&str; 2] = ["generation", "limits"];

/// Applies `remove`, then `upsert`, then the fields that are replaced as a whole.
///
/// Items are identified by their `name`. A replaced item keeps its index; a new item is appended.
pub(crate) fn apply<'a>(
    document: &mut BorrowedValue<'a>, patch: BorrowedValue<'a>,
) -> Result<(), ConfigurationError> {
    let (Some(document), BorrowedValue::Object(mut patch)) = (document.as_object_mut(), patch) else {
        return Err(ConfigurationError::NotAnObject { object: "the patch".to_owned() });
    };
    if let Some(lists) = take_section(&mut patch, "remove")? {
        for (key, names) in lists {
            remove(document, &key, &names)?;
        }
    }
    if let Some(lists) = take_section(&mut patch, "upsert")? {
        for (key, items) in lists {
            upsert(document, key.as_ref(), items)?;
        }
    }
    for key in REPLACED_FIELDS {
        if let Some(value) = patch.remove(key) {
            document.insert(key.into(), value);
        }
    }
    Ok(())
}

fn take_section<'a>(
    patch: &mut Object<'a>, section: &'static str,
) -> Result<Option<Object<'a>>, ConfigurationError> {
    match patch.remove(section) {
        None => Ok(None),
        Some(value) if value.is_null() => Ok(None),
        Some(BorrowedValue::Object(object)) => Ok(Some(*object)),
        Some(_) => Err(ConfigurationError::InvalidPatchSection { section }),
    }
}

fn remove(document: &mut Object<'_>, key: &str, names: &BorrowedValue<'_>) -> Result<(), ConfigurationError> {
    let invalid = || ConfigurationError::InvalidRemoval { key: key.to_owned() };
    let names: Vec<&str> = match names.value_type() {
        ValueType::Null => return Ok(()),
        ValueType::Array => names
            .as_array()
            .into_iter()
            .flatten()
            .map(|name| name.as_str().ok_or_else(invalid))
            .collect::<Result<_, _>>()?,
        _ => return Err(invalid()),
    };
    if let Some(items) = document.get_mut(key).and_then(|items| items.as_array_mut()) {
        items.retain(|item| name_of(item).is_none_or(|name| !names.contains(&name)));
    }
    Ok(())
}

fn upsert<'a>(
    document: &mut Object<'a>, key: &str, items: BorrowedValue<'a>,
) -> Result<(), ConfigurationError> {
    let items = match items {
        BorrowedValue::Array(items) => *items,
        value if value.is_null() => return Ok(()),
        // A value that is not an array, such as `limits`, is replaced as a whole.
        value => {
            document.insert(key.to_owned().into(), value);
            return Ok(());
        }
    };
    let list = document.entry(key.to_owned().into()).or_insert_with(BorrowedValue::array);
    let Some(list) = list.as_array_mut() else {
        return Err(ConfigurationError::NotAList { key: key.to_owned() });
    };
    for item in items {
        let Some(name) = name_of(&item) else {
            return Err(ConfigurationError::UnnamedItem { key: key.to_owned() });
        };
        match list.iter_mut().find(|existing| name_of(existing) == Some(name)) {
            Some(existing) => *existing = item,
            None => list.push(item),
        }
    }
    Ok(())
}

fn name_of<'a>(item: &'a BorrowedValue<'_>) -> Option<&'a str> {
    item.get("name").and_then(|name| name.as_str())
}
