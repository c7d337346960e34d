//! What the kit's tests share.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The daemon beside the kit; built if only the kit's tests were asked for.
pub fn daemon() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_vetchbridge-testkit")).with_file_name("vetchbridge");
    if !path.is_file() {
        let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "vetchbridge"]).status();
        assert!(built.expect("cargo runs").success());
    }
    path
}
