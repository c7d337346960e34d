//! The executable of the testing kit; the library implements everything.

fn main() -> std::process::ExitCode {
    vetchbridge_testkit::cli::main()
}
