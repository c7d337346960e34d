//! Tasks that end with their owner.

use tokio::task::JoinHandle;

/// A task that is cancelled when this value is dropped, with everything that the task owns.
pub struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Starts the task.
    pub fn spawn(task: impl std::future::Future<Output = ()> + Send + 'static) -> AbortOnDrop {
        AbortOnDrop(tokio::spawn(task))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
