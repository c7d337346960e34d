//! Tasks that end with their owner.

use tokio::task::JoinHandle;

/// A task that is cancelled when this value is dropped, with everything that the task owns.
pub struct Owned(JoinHandle<()>);

impl Owned {
    /// Starts the task.
    pub fn spawn(task: impl std::future::Future<Output = ()> + Send + 'static) -> Owned {
        Owned(tokio::spawn(task))
    }
}

impl Drop for Owned {
    fn drop(&mut self) {
        self.0.abort();
    }
}
