//! Unix sockets that carry whole messages and descriptors (`SOCK_SEQPACKET`, `SCM_RIGHTS`).
//!
//! Owns the sockets' system calls. The runtime knows no such sockets; they are given to it as stream sockets, whose
//! readiness is the same, and are read and written here alone. A descriptor that was received is owned by whoever
//! received it. It must never know what a message means.

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

/// The most descriptors that one message brings.
const DESCRIPTORS: usize = 2;
/// Successors that wait to be heard.
const BACKLOG: i32 = 4;

fn socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// A socket that successors connect to.
pub struct HandoverListener {
    socket: UnixListener,
    /// Where it is until it is published.
    beside: Option<PathBuf>,
}

impl HandoverListener {
    /// Listens beside a path, where nobody looks yet.
    pub fn open(path: &Path) -> io::Result<HandoverListener> {
        let beside = path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&beside);
        let socket = socket()?;
        bind(&socket, &SocketAddrUnix::new(&beside)?)?;
        listen(&socket, BACKLOG)?;
        Ok(HandoverListener { socket: UnixListener::from_std(socket.into())?, beside: Some(beside) })
    }

    /// Moves to the path. What lies there, of a process that has ended or of one that has handed over, is replaced.
    pub fn publish(&mut self, path: &Path) -> io::Result<()> {
        match self.beside.take() {
            Some(beside) => std::fs::rename(beside, path),
            None => Ok(()),
        }
    }

    /// The next process that connects. One of another user is turned away.
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
        if let Some(beside) = self.beside.take() {
            let _ = std::fs::remove_file(beside);
        }
    }
}

/// One end of a connection between two processes.
pub struct HandoverSocket(UnixStream);

impl HandoverSocket {
    /// Connects to the process that listens at a path.
    pub fn dial(path: &Path) -> io::Result<HandoverSocket> {
        let socket = socket()?;
        connect(&socket, &SocketAddrUnix::new(path)?)?;
        Ok(HandoverSocket(UnixStream::from_std(socket.into())?))
    }

    /// Sends one message, with descriptors beside it.
    pub async fn send(&self, message: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let sent = self.0.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(DESCRIPTORS))];
            let mut beside = SendAncillaryBuffer::new(&mut space);
            if !descriptors.is_empty() && !beside.push(SendAncillaryMessage::ScmRights(descriptors)) {
                return Err(io::Error::from(io::ErrorKind::InvalidInput));
            }
            let pieces = [IoSlice::new(message)];
            Ok(retry_on_intr(|| sendmsg(&self.0, &pieces, &mut beside, SendFlags::NOSIGNAL))?)
        });
        sent.await.map(drop)
    }

    /// The next message and its descriptors; none once the other side has closed.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<Option<(usize, Vec<OwnedFd>)>> {
        let received = self.0.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(DESCRIPTORS))];
            let mut beside = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::CMSG_CLOEXEC;
            let mut pieces = [IoSliceMut::new(buffer)];
            let got = retry_on_intr(|| recvmsg(self.0.as_fd(), &mut pieces, &mut beside, flags))?;
            let mut descriptors = Vec::new();
            for message in beside.drain() {
                if let RecvAncillaryMessage::ScmRights(rights) = message {
                    descriptors.extend(rights);
                }
            }
            if got.flags.contains(rustix::net::ReturnFlags::TRUNC) {
                return Err(io::Error::from(Errno::MSGSIZE));
            }
            Ok((got.bytes, descriptors))
        });
        let (bytes, descriptors) = received.await?;
        Ok((bytes > 0).then_some((bytes, descriptors)))
    }
}
