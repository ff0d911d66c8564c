//! Builds the programs that a fleet runs and returns their paths.

use std::path::{Path, PathBuf};
use std::process::Command;

use miette::{IntoDiagnostic as _, miette};

/// Paths of the programs that a fleet starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of `junctionbendd`.
    pub daemon: PathBuf,
    /// Path of `jb-fakes`, which runs the stand-ins.
    pub fakes: PathBuf,
    /// Path of `junctionbend`, the operators' command line.
    pub client: PathBuf,
}

/// Builds the programs in the Cargo profile of the running executable and returns their paths.
///
/// # Errors
/// Returns an error when `cargo build` fails.
pub fn build() -> miette::Result<Programs> {
    let folder = target_folder()?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args([
            "build",
            "--quiet",
            "--package",
            "jb-daemon",
            "--package",
            "jb-fakes",
            "--package",
            "jb-cli",
            "--bins",
        ])
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    if folder.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().into_diagnostic()?;
    if !status.success() {
        return Err(miette!("cargo build of the fleet's programs failed: {status}"));
    }
    Ok(Programs {
        daemon: folder.join("junctionbendd"),
        fakes: folder.join("jb-fakes"),
        client: folder.join("junctionbend"),
    })
}

/// Returns the target directory of the running executable's Cargo profile.
fn target_folder() -> miette::Result<PathBuf> {
    let program = std::env::current_exe().into_diagnostic()?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.to_owned())
}
