//! Runs every file under `scenarios` as a separate test.

use std::path::{Path, PathBuf};

use jb_fakes::fleet::{self, Programs};
use jb_scenario::{parse, run};
use libtest_mimic::{Arguments, Failed, Trial};

/// Number of scenarios that run at the same time; each starts about ten processes.
const MAX_PARALLEL_SCENARIOS: usize = 3;

fn main() {
    let mut arguments = Arguments::from_args();
    arguments.test_threads.get_or_insert(MAX_PARALLEL_SCENARIOS);
    let listing = arguments.list;
    let programs = if listing { None } else { fleet::build().ok() };
    let trials = files()
        .into_iter()
        .map(|file| trial(file, programs.clone()))
        .collect();
    libtest_mimic::run(&arguments, trials).exit();
}

fn files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|e| e == "scn"));
    files.sort();
    files
}

fn trial(file: PathBuf, programs: Option<Programs>) -> Trial {
    let name = file
        .file_stem()
        .map_or_else(String::new, |s| s.to_string_lossy().into_owned());
    Trial::test(name, move || {
        let programs = programs.ok_or("the programs of the fleet could not be built")?;
        run_file(&file, &programs).map_err(|report| Failed::from(format!("{report:?}")))
    })
}

fn run_file(file: &Path, programs: &Programs) -> miette::Result<()> {
    let text = std::fs::read_to_string(file).map_err(|e| miette::miette!("{e}"))?;
    let steps = parse::parse(&file.display().to_string(), &text).map_err(|e| *e)?;
    run::run(programs, &steps)
}
