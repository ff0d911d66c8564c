//! Checks that the documented log events and error kinds match the code.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::path::Path;

use jb_protocol::error::Kind;
use jb_protocol::event;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the cells of each Markdown table row, without backquotes.
fn rows(text: &str) -> Vec<Vec<String>> {
    let rows = text.lines().filter(|line| line.starts_with("| "));
    rows.map(|row| {
        row.split('|')
            .skip(1)
            .map(|cell| cell.trim().replace('`', ""))
            .collect()
    })
    .collect()
}

#[test]
fn documented_log_events_match_the_code() {
    let documented: BTreeSet<String> = rows(&page("LOGS.md"))
        .into_iter()
        .filter(|row| row[0].parse::<u16>().is_ok())
        .map(|row| format!("{} {}", row[0], row[1]))
        .collect();
    let known: BTreeSet<String> = event::ALL
        .iter()
        .map(|e| format!("{} {}", e.number, e.name))
        .collect();
    assert_eq!(documented, known);
    assert_eq!(
        known.len(),
        event::ALL.len(),
        "two events have the same number and name"
    );
}

#[test]
fn every_error_kind_is_documented_with_its_status() {
    let rows = rows(&page("OPERATORS.md"));
    for kind in Kind::ALL {
        let status = kind.answer().status.to_string();
        let found = rows.iter().any(|row| row[0] == kind.code() && row[1] == status);
        assert!(found, "`{}` with status {status} is not documented", kind.code());
    }
}

#[test]
fn source_files_contain_no_test_modules() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut pending = vec![crates];
    while let Some(folder) = pending.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            let text = path.to_string_lossy().into_owned();
            if path.is_dir() && !text.ends_with("/tests") && !text.ends_with("/target") {
                pending.push(path);
            } else if text.ends_with(".rs") {
                let code = std::fs::read_to_string(&path).expect("a file");
                assert!(!code.contains(concat!("cfg", "(test)")), "{text}");
            }
        }
    }
}
