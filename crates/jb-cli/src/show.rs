//! Tables for people, JSON for programs.

use serde::Serialize;

/// Prints a value as JSON.
pub fn json<T: Serialize>(value: &T) {
    if let Ok(text) = serde_json::to_string_pretty(value) {
        println!("{text}");
    }
}

/// Prints rows under a head, each column as wide as its widest cell.
pub fn table(head: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([head[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    line(head.iter().copied(), &widths);
    for row in rows {
        line(row.iter().map(String::as_str), &widths);
    }
}

fn line<'c>(cells: impl Iterator<Item = &'c str>, widths: &[usize]) {
    let cells: Vec<String> = cells
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    println!("{}", cells.join("  ").trim_end());
}
