//! Measures applying and checking an edit, compiling a tree, and splitting it into parts, at 550 customers.

#![allow(missing_docs, clippy::expect_used)]

use std::fmt::Write as _;
use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use jb_tree::edit::{Change, Edit, apply};
use jb_tree::key::Digest;
use jb_tree::view::View;
use jb_tree::{Tree, document, head};
use serde_json::json;

const CUSTOMERS: usize = 550;
const MODELS: usize = 25;
const ENGINES_PER_MODEL: usize = 172;

fn tree() -> Tree {
    let mut text = "[\"/customers\"]\nmax_concurrent = 50\n".to_owned();
    for n in 0..CUSTOMERS {
        let key = Digest::of(&n.to_string());
        write!(text, "[\"/customers/c{n}\"]\nkeys = [\"{key}\"]\n").expect("a string");
    }
    for model in 0..MODELS {
        write!(
            text,
            "[\"/services/m{model}\"]\nmodel = \"m{model}\"\n[\"/routes/r{model}\"]\nservice = \"m{model}\"\n"
        )
        .expect("a string");
        for engine in 0..ENGINES_PER_MODEL {
            write!(
                text,
                "[\"/services/m{model}/e{engine}\"]\naddress = \"10.0.0.1:{}\"\nhall = \"h\"\n",
                1000 + engine
            )
            .expect("a string");
        }
    }
    document::read("bench", &text).expect("a tree")
}

fn merge(criterion: &mut Criterion) {
    let tree = tree();
    let edit = Edit {
        id: "e".to_owned(),
        author: "bench".to_owned(),
        changes: vec![Change {
            path: "/customers/c7".parse().expect("a path"),
            key: "max_concurrent".to_owned(),
            from: None,
            to: Some(json!(9)),
        }],
    };
    criterion.bench_function("tree/apply_and_check_an_edit", |b| {
        b.iter(|| apply(black_box(&tree), &edit))
    });
    criterion.bench_function("tree/compile", |b| b.iter(|| View::compile(black_box(&tree), 1)));
    criterion.bench_function("tree/cut_into_parts", |b| {
        b.iter(|| head::split(black_box(&tree)))
    });
    let split = head::split(&tree).expect("parts");
    let bytes: usize = split.parts.iter().map(|p| p.body.len()).sum();
    let largest = split.parts.iter().map(|p| p.body.len()).max().unwrap_or(0);
    let of = |name: &str| {
        let at = split.references.iter().position(|r| r.name == name);
        at.map_or(0, |at| split.parts[at].body.len())
    };
    println!(
        "tree: {bytes} bytes in {} parts, largest {largest}, customers-03 {}",
        split.parts.len(),
        of("customers-03")
    );
}

criterion_group!(benches, merge);
criterion_main!(benches);
