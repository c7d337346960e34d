//! The kit's executable; the library implements everything.

fn main() -> std::process::ExitCode {
    vetchbridge_testkit::cli::main()
}
