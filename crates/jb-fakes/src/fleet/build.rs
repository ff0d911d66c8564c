//! Finds the programs, building them first.

use std::path::{Path, PathBuf};
use std::process::Command;

use miette::{IntoDiagnostic as _, miette};

/// Paths of the programs that a fleet starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The daemon.
    pub daemon: PathBuf,
    /// The stand-ins.
    pub fakes: PathBuf,
    /// The operators' client.
    pub client: PathBuf,
}

/// Builds the programs in the profile of the running one, and finds them.
///
/// # Errors
/// When the build fails.
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
        return Err(miette!("the programs could not be built"));
    }
    Ok(Programs {
        daemon: folder.join("junctionbendd"),
        fakes: folder.join("jb-fakes"),
        client: folder.join("junctionbend"),
    })
}

/// Folder of the profile in which the running program was built.
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
