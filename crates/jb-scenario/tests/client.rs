//! The operators' command line against a running box.

#![allow(clippy::expect_used)]

use std::path::Path;
use std::process::Command;

use jb_fakes::fleet::layout::{self, Hall, Layout, TreeOptions};
use jb_fakes::fleet::{self, Programs};

struct Ran {
    code: i32,
    out: String,
    err: String,
}

fn run(programs: &Programs, at: &str, arguments: &[&str]) -> Ran {
    let output = Command::new(&programs.client)
        .args(["--box", at])
        .args(arguments)
        .output()
        .expect("the client starts");
    Ran {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_reads_edits_and_explains() {
    let programs = fleet::build().expect("the programs build");
    let layout = Layout {
        halls: vec![Hall {
            name: "hall-a".to_owned(),
            boxes: 2,
            engines: 1,
            plain: 1,
        }],
        ..Layout::default()
    };
    let options = TreeOptions::with_customers(&["ann"]);
    let rig = layout::start(&programs, &layout, &options)
        .await
        .expect("the fleet starts");
    let at = rig
        .box_ports("hall-a-box-1")
        .expect("a box")
        .operators
        .to_string();
    let client = |arguments: &[&str]| run(&programs, &at, arguments);

    let set = client(&["tree", "set", "/customers", "max_concurrent", "9", "--wait", "20"]);
    assert_eq!(set.code, 0, "{}", set.err);
    assert!(set.out.contains("in force everywhere"), "{}", set.out);
    let get = client(&["tree", "get", "/customers/ann", "max_concurrent"]);
    assert_eq!(get.out.trim(), "9 (from /customers)");
    let unset = client(&["tree", "unset", "/customers", "max_concurrent"]);
    assert_eq!(unset.code, 0, "{}", unset.err);
    assert_eq!(
        client(&["tree", "get", "/customers/ann", "max_concurrent"])
            .out
            .trim(),
        "not set"
    );

    assert_eq!(
        client(&["tree", "set", "/customers", "max_concurrent", "many"]).code,
        2
    );
    assert_eq!(client(&["tree", "set", "/nodes/x", "share", "1"]).code, 2);
    assert_eq!(
        client(&["tree", "set", "/routes/wording", "service", "nowhere"]).code,
        4
    );
    assert_eq!(run(&programs, "127.0.0.1:1", &["status"]).code, 3);

    let document = tempfile::tempdir().expect("a folder");
    let file = document.path().join("tree.toml");
    let exported = client(&["tree", "export"]);
    std::fs::write(&file, &exported.out).expect("a file");
    let file = file.to_str().expect("a path");
    assert_eq!(client(&["tree", "import", file]).out.trim(), "nothing to change");
    client(&["tree", "set", "/customers", "max_concurrent", "8"]);
    assert_eq!(
        client(&["tree", "import", file]).code,
        2,
        "the export is older than the tree"
    );

    let status = client(&["status"]);
    assert!(
        status.out.contains("hall-a-box-2") && status.out.contains("quill-models"),
        "{}",
        status.out
    );
    let explained = client(&[
        "explain",
        "--customer",
        "ann",
        "--route",
        "wording",
        "system: x",
        "user: y",
    ]);
    assert!(
        explained.out.contains("quill-models/hall-a-engine-1"),
        "{}{}",
        explained.out,
        explained.err
    );
    let moved = client(&[
        "migrate",
        "/routes/wording",
        "--to",
        "hall-a",
        "--home",
        "hall-a",
        "--share",
        "25",
    ]);
    assert_eq!(moved.code, 0, "{}", moved.err);
    assert_eq!(client(&["drain"]).code, 0);
}

#[test]
fn the_example_trees_pass_their_check() {
    let programs = fleet::build().expect("the programs build");
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["larkspur.toml", "courier.toml"] {
        let file = examples.join(name);
        let checked = run(
            &programs,
            "127.0.0.1:1",
            &["check", file.to_str().expect("a path")],
        );
        assert_eq!(checked.code, 0, "{}", checked.err);
    }
}
