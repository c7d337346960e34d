//! The daemon's program: everything is the library's.

fn main() -> std::process::ExitCode {
    vetchbridge::cli::main()
}
