//! Output as tables for people and as JSON for programs.

use serde::Serialize;

/// Prints a value as indented JSON.
pub fn json<T: Serialize>(value: &T) {
    if let Ok(text) = serde_json::to_string_pretty(value) {
        println!("{text}");
    }
}

/// Prints rows below a header row, with each column as wide as its widest cell.
pub fn table(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    print_row(header.iter().copied(), &widths);
    for row in rows {
        print_row(row.iter().map(String::as_str), &widths);
    }
}

fn print_row<'c>(cells: impl Iterator<Item = &'c str>, widths: &[usize]) {
    let cells: Vec<String> = cells
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    println!("{}", cells.join("  ").trim_end());
}
