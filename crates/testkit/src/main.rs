//! The kit's program: everything is the library's.

fn main() -> std::process::ExitCode {
    vetchbridge_testkit::cli::main()
}
