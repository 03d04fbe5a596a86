//! Renders JSON values as text tables: scalars as lines with name and value, lists of objects as rows.

use simd_json::OwnedValue;
use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, Writable};

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";
/// Text in the cell of a field that the row's object lacks.
const EMPTY_CELL: &str = "-";

/// Renders a JSON value as text. Nested objects and lists get a title with their path.
pub fn render(value: &OwnedValue) -> String {
    let mut text = String::new();
    render_named(&mut text, "", value);
    text
}

fn render_named(text: &mut String, name: &str, value: &OwnedValue) {
    if let Some(object) = value.as_object() {
        render_object(text, name, object);
    } else if let Some(list) = value.as_array() {
        render_list(text, name, list);
    } else {
        text.push_str(&format!("{name}{COLUMN_GAP}{}\n", format_cell(value)));
    }
}

fn render_object(text: &mut String, name: &str, object: &simd_json::owned::Object) {
    let mut fields: Vec<(&String, &OwnedValue)> = object.iter().collect();
    fields.sort_by_key(|(field, _)| *field);
    let (scalars, nested): (Vec<_>, Vec<_>) = fields.into_iter().partition(|(_, value)| is_scalar(value));
    let rows =
        scalars.iter().map(|(field, value)| vec![(*field).clone(), format_cell(value)]).collect::<Vec<_>>();
    if !rows.is_empty() {
        write_title(text, name);
        write_rows(text, &rows);
    }
    for (field, value) in nested {
        let path = if name.is_empty() { field.clone() } else { format!("{name}.{field}") };
        render_named(text, &path, value);
    }
}

fn render_list(text: &mut String, name: &str, list: &[OwnedValue]) {
    write_title(text, &format!("{name} ({})", list.len()));
    let mut columns: Vec<String> =
        list.iter().filter_map(|entry| entry.as_object()).flat_map(|object| object.keys().cloned()).collect();
    columns.sort();
    columns.dedup();
    let mut rows = Vec::new();
    if !columns.is_empty() {
        rows.push(columns.clone());
    }
    for entry in list {
        rows.push(match entry.as_object() {
            Some(object) => columns
                .iter()
                .map(|column| object.get(column).map_or(EMPTY_CELL.into(), format_cell))
                .collect(),
            None => vec![format_cell(entry)],
        });
    }
    write_rows(text, &rows);
}

fn write_title(text: &mut String, name: &str) {
    if !name.is_empty() {
        text.push_str(&format!("\n{name}\n"));
    }
}

fn write_rows(text: &mut String, rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let max_width = |column: usize| rows.iter().filter_map(|row| row.get(column)).map(String::len).max();
    let widths: Vec<usize> = (0..columns).map(|column| max_width(column).unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join(COLUMN_GAP).trim_end());
        text.push('\n');
    }
}

fn is_scalar(value: &OwnedValue) -> bool {
    value.as_object().is_none() && value.as_array().is_none()
}

/// Formats a scalar, or a nested value as JSON, for a cell.
fn format_cell(value: &OwnedValue) -> String {
    value.as_str().map_or_else(|| value.encode(), str::to_owned)
}
