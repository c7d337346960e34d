//! Unix sockets that carry messages, each complete or not at all, and descriptors (`SOCK_SEQPACKET`, `SCM_RIGHTS`).
//!
//! Owns the sockets' system calls. The runtime knows no such sockets; they are registered with it as stream sockets,
//! whose readiness is the same, and are read and written here alone. A descriptor that was received is owned by its
//! receiver. The content of a message does not matter here.

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

/// Maximum number of descriptors in one message.
const MAX_DESCRIPTORS: usize = 2;
/// Maximum number of successors that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 4;

fn socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// A socket that successors connect to.
pub struct HandoverListener {
    socket: UnixListener,
    /// Its own path until it is published.
    unpublished_path: Option<PathBuf>,
}

impl HandoverListener {
    /// Listens at a path of its own beside `path`, to which nobody connects yet.
    pub fn open(path: &Path) -> io::Result<HandoverListener> {
        let own_path = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&own_path);
        let socket = socket()?;
        bind(&socket, &SocketAddrUnix::new(&own_path)?)?;
        listen(&socket, ACCEPT_BACKLOG)?;
        Ok(HandoverListener {
            socket: UnixListener::from_std(socket.into())?,
            unpublished_path: Some(own_path),
        })
    }

    /// Moves to `path`. A socket that is there, of a process that has ended or has handed over, is replaced.
    pub fn publish(&mut self, path: &Path) -> io::Result<()> {
        match self.unpublished_path.take() {
            Some(own_path) => std::fs::rename(own_path, path),
            None => Ok(()),
        }
    }

    /// Accepts the next process that connects. One of another user is rejected.
    pub async fn accept(&self) -> io::Result<HandoverSocket> {
        let (accepted, _) = self.socket.accept().await?;
        if accepted.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, "a process of another user"));
        }
        Ok(HandoverSocket(accepted))
    }
}

impl Drop for HandoverListener {
    fn drop(&mut self) {
        if let Some(own_path) = self.unpublished_path.take() {
            let _ = std::fs::remove_file(own_path);
        }
    }
}

/// A message that was received into a caller's buffer.
pub struct ReceivedMessage {
    /// Its length in bytes.
    pub length: usize,
    /// The descriptors that came with it.
    pub descriptors: Vec<OwnedFd>,
}

/// One end of a connection between two processes.
pub struct HandoverSocket(UnixStream);

impl HandoverSocket {
    /// Connects to the process that listens at a path.
    pub fn connect(path: &Path) -> io::Result<HandoverSocket> {
        let socket = socket()?;
        connect(&socket, &SocketAddrUnix::new(path)?)?;
        Ok(HandoverSocket(UnixStream::from_std(socket.into())?))
    }

    /// Sends one message with its descriptors.
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

    /// Receives the next message into `buffer`; `None` once the other process has closed the connection.
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
