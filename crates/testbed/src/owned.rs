//! Tasks that are aborted when their owner is dropped.

use tokio::task::JoinHandle;

/// A task that is aborted when this value is dropped. Everything that the task owns is dropped with the task.
pub struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Starts a task, which is aborted when the returned value is dropped.
    pub fn spawn(task: impl std::future::Future<Output = ()> + Send + 'static) -> AbortOnDrop {
        AbortOnDrop(tokio::spawn(task))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
