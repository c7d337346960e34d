//! Helpers that the kit's tests share.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns the path of the daemon's binary beside the kit's binary. Builds the daemon if only the kit's tests
/// were built.
pub fn daemon() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_vetchbridge-testkit")).with_file_name("vetchbridge");
    if !path.is_file() {
        let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "vetchbridge"]).status();
        assert!(built.expect("cargo runs").success());
    }
    path
}
