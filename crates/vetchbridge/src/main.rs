//! The daemon's executable; the library contains all of its code.

fn main() -> std::process::ExitCode {
    vetchbridge::cli::main()
}
