//! Putting a patch on a document.

use crate::ConfigurationError;
use simd_json::borrowed::Object;
use simd_json::prelude::*;
use simd_json::{BorrowedValue, ValueType};

/// Applies `remove`, then `upsert`, then `generation` and `limits`. Items keep their order: a replaced one its
/// place, a new one comes last.
pub(crate) fn apply<'a>(
    document: &mut BorrowedValue<'a>, patch: BorrowedValue<'a>,
) -> Result<(), ConfigurationError> {
    let (Some(document), BorrowedValue::Object(mut patch)) = (document.as_object_mut(), patch) else {
        return Err(ConfigurationError("the patch is not an object".to_owned()));
    };
    if let Some(lists) = take_object(&mut patch, "remove")? {
        for (key, names) in lists {
            remove(document, &key, &names)?;
        }
    }
    if let Some(lists) = take_object(&mut patch, "upsert")? {
        for (key, items) in lists {
            upsert(document, key.as_ref(), items)?;
        }
    }
    for key in ["generation", "limits"] {
        if let Some(value) = patch.remove(key) {
            document.insert(key.into(), value);
        }
    }
    Ok(())
}

fn take_object<'a>(patch: &mut Object<'a>, key: &str) -> Result<Option<Object<'a>>, ConfigurationError> {
    match patch.remove(key) {
        None => Ok(None),
        Some(value) if value.is_null() => Ok(None),
        Some(BorrowedValue::Object(object)) => Ok(Some(*object)),
        Some(_) => Err(ConfigurationError(format!("the patch: `{key}` must be an object"))),
    }
}

fn remove(document: &mut Object<'_>, key: &str, names: &BorrowedValue<'_>) -> Result<(), ConfigurationError> {
    let invalid =
        || ConfigurationError(format!("the patch: `remove` must hold a list of names under `{key}`"));
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
        // What is no list, such as `limits`, is replaced as a whole.
        value if value.is_null() => return Ok(()),
        value => {
            document.insert(key.to_owned().into(), value);
            return Ok(());
        }
    };
    let list = document.entry(key.to_owned().into()).or_insert_with(BorrowedValue::array);
    let Some(list) = list.as_array_mut() else {
        return Err(ConfigurationError(format!("the document: `{key}` is no list")));
    };
    for item in items {
        let Some(name) = name_of(&item) else {
            return Err(ConfigurationError(format!("the patch: an item of `{key}` has no name")));
        };
        match list.iter_mut().find(|other| name_of(other) == Some(name)) {
            Some(place) => *place = item,
            None => list.push(item),
        }
    }
    Ok(())
}

fn name_of<'a>(item: &'a BorrowedValue<'_>) -> Option<&'a str> {
    item.get("name").and_then(|name| name.as_str())
}
