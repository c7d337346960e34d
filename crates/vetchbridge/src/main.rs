//! The daemon's program: sets up the log and the runtime, and owns the exit code. Everything else is the library's.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    // One core is all there is: one thread, and no locks ever waited for.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(vetchbridge::serve::run()),
        Err(error) => Err(error.into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
