//! The daemon's binary; everything is in the library.

fn main() -> std::process::ExitCode {
    vetchbridge::cli::main()
}
