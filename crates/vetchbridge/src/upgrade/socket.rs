//! Unix sockets that carry whole messages (`SOCK_SEQPACKET`) and file descriptors (`SCM_RIGHTS`).
//!
//! This module makes the system calls and does not interpret the messages. Tokio does not support such
//! sockets, so they are registered with Tokio as stream sockets, whose readiness works in the same way; only
//! this module reads and writes the sockets. A process that receives a descriptor owns that descriptor.

use rustix::cmsg_space;
use rustix::io::{retry_on_intr, Errno};
use rustix::net::{
    bind, connect, listen, recvmsg, sendmsg, socket_with, AddressFamily, RecvAncillaryBuffer,
    RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketAddrUnix,
    SocketFlags, SocketType,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

/// Maximum number of file descriptors in one hand-over message.
const MAX_DESCRIPTORS: usize = 2;
/// Maximum number of connections of successor processes that may wait in the listener's queue.
const ACCEPT_BACKLOG: i32 = 4;

fn new_socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// The listening socket to which successor processes connect.
pub struct HandoverListener {
    socket: UnixListener,
    /// The temporary path of the listening socket; `None` once the socket has been moved to the path where
    /// successor processes connect.
    unpublished_path: Option<PathBuf>,
}

impl HandoverListener {
    /// Listens at a temporary path in the same directory as `path`. No process connects to the temporary
    /// path.
    pub fn open(path: &Path) -> io::Result<HandoverListener> {
        let temporary_path = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary_path);
        let socket = new_socket()?;
        bind(&socket, &SocketAddrUnix::new(&temporary_path)?)?;
        listen(&socket, ACCEPT_BACKLOG)?;
        Ok(HandoverListener {
            socket: UnixListener::from_std(socket.into())?,
            unpublished_path: Some(temporary_path),
        })
    }

    /// Moves the listening socket to `path`, where successor processes connect. Replaces the socket of a
    /// process that has ended or has handed over.
    pub fn publish(&mut self, path: &Path) -> io::Result<()> {
        match self.unpublished_path.take() {
            Some(temporary_path) => std::fs::rename(temporary_path, path),
            None => Ok(()),
        }
    }

    /// Accepts the next connection of a process to the hand-over socket. Returns an error if that process
    /// belongs to another user.
    pub async fn accept(&self) -> io::Result<HandoverSocket> {
        let (accepted, _) = self.socket.accept().await?;
        if accepted.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "connection from a process of another user",
            ));
        }
        Ok(HandoverSocket(accepted))
    }
}

impl Drop for HandoverListener {
    fn drop(&mut self) {
        if let Some(temporary_path) = self.unpublished_path.take() {
            let _ = std::fs::remove_file(temporary_path);
        }
    }
}

/// A message that was received into the caller's buffer.
pub struct ReceivedMessage {
    /// The length of the received message, in bytes.
    pub length: usize,
    /// The file descriptors that came with the received message.
    pub descriptors: Vec<OwnedFd>,
}

/// One end of a connection between two processes of a scheduler.
pub struct HandoverSocket(UnixStream);

impl HandoverSocket {
    /// Connects to the process that listens at `path`.
    pub fn connect(path: &Path) -> io::Result<HandoverSocket> {
        let socket = new_socket()?;
        connect(&socket, &SocketAddrUnix::new(path)?)?;
        Ok(HandoverSocket(UnixStream::from_std(socket.into())?))
    }

    /// Sends one message with its descriptors to the process at the other end.
    pub async fn send(&self, message: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let sent = self.0.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
                return Err(io::Error::from(io::ErrorKind::InvalidInput));
            }
            let buffers = [IoSlice::new(message)];
            Ok(retry_on_intr(|| sendmsg(&self.0, &buffers, &mut ancillary, SendFlags::NOSIGNAL))?)
        });
        sent.await.map(drop)
    }

    /// Receives the next message into `buffer`; returns `None` when the other process has closed the
    /// connection.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<Option<ReceivedMessage>> {
        let received = self.0.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::CMSG_CLOEXEC;
            let mut buffers = [IoSliceMut::new(buffer)];
            let result = retry_on_intr(|| recvmsg(self.0.as_fd(), &mut buffers, &mut ancillary, flags))?;
            let mut descriptors = Vec::new();
            for message in ancillary.drain() {
                if let RecvAncillaryMessage::ScmRights(rights) = message {
                    descriptors.extend(rights);
                }
            }
            if result.flags.contains(rustix::net::ReturnFlags::TRUNC) {
                return Err(io::Error::from(Errno::MSGSIZE));
            }
            Ok(ReceivedMessage { length: result.bytes, descriptors })
        });
        let received = received.await?;
        Ok((received.length > 0).then_some(received))
    }
}
