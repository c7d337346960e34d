//! The functions of the C library that are replaced, each by the kernel's call with its faults before it.

use crate::faults::{clock_step, connected, draw, note_connected};
use crate::plan::{Fault, LONGEST_STALL_MICROS};
use libc::{
    c_int, c_long, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;

fn failed(errors: &[c_int], drawn: u64) -> c_int {
    let error = errors[(drawn % errors.len() as u64) as usize];
    // SAFETY: the C library gives each thread a valid place for its error.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// A length from 1 to one less than asked for; whole where that is too short to be cut.
fn shortened(length: size_t, drawn: u64) -> size_t {
    if length < 2 {
        return length;
    }
    1 + (drawn % (length as u64 - 1)) as size_t
}

fn stall() {
    let Some(drawn) = draw(Fault::SendStalled) else { return };
    let nanos = (drawn % LONGEST_STALL_MICROS) as i64 * NANOS_PER_MICRO;
    let span = timespec { tv_sec: 0, tv_nsec: nanos };
    // SAFETY: the span outlives the call, and no rest is asked for.
    unsafe { libc::syscall(libc::SYS_nanosleep, &span, std::ptr::null::<timespec>()) };
}

fn breaks(descriptor: c_int) -> Option<c_int> {
    let drawn = connected(descriptor).then(|| draw(Fault::ReceiveBroken)).flatten()?;
    // SAFETY: shutting a descriptor down touches no memory.
    unsafe { libc::syscall(libc::SYS_shutdown, descriptor, libc::SHUT_RDWR) };
    Some(failed(&[libc::ETIMEDOUT, libc::EHOSTUNREACH], drawn))
}

/// `recv(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(drawn) = draw(Fault::ReceiveInterrupted) {
        return failed(&[libc::EINTR], drawn) as ssize_t;
    }
    if let Some(broken) = breaks(descriptor) {
        return broken as ssize_t;
    }
    let length = draw(Fault::ReceiveShort).map_or(length, |drawn| shortened(length.min(64), drawn));
    let (address, size) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
    // SAFETY: the caller's buffer, of at most the caller's length.
    unsafe { libc::syscall(libc::SYS_recvfrom, descriptor, buffer, length, flags, address, size) as ssize_t }
}

/// `readv(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn readv(descriptor: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    if let Some(drawn) = draw(Fault::ReceiveInterrupted) {
        return failed(&[libc::EINTR], drawn) as ssize_t;
    }
    // SAFETY: the caller's pieces.
    unsafe { libc::syscall(libc::SYS_readv, descriptor, pieces, count) as ssize_t }
}

/// `send(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(drawn) = draw(Fault::SendInterrupted) {
        return failed(&[libc::EINTR], drawn) as ssize_t;
    }
    stall();
    let length = draw(Fault::SendShort).map_or(length, |drawn| shortened(length, drawn));
    let address = std::ptr::null::<sockaddr>();
    // SAFETY: the caller's buffer, of at most the caller's length.
    unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, address, 0) as ssize_t }
}

/// `writev(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    if let Some(drawn) = draw(Fault::SendInterrupted) {
        return failed(&[libc::EINTR], drawn) as ssize_t;
    }
    stall();
    if count > 0 {
        if let Some(drawn) = draw(Fault::SendShort) {
            // SAFETY: there is at least one piece, and no more of it is written than it holds.
            let first = unsafe { &*pieces };
            let length = shortened(first.iov_len, drawn);
            // SAFETY: as before.
            return unsafe { libc::syscall(libc::SYS_write, descriptor, first.iov_base, length) as ssize_t };
        }
    }
    // SAFETY: the caller's pieces.
    unsafe { libc::syscall(libc::SYS_writev, descriptor, pieces, count) as ssize_t }
}

/// `sendto(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn sendto(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
    address: *const sockaddr,
    size: socklen_t,
) -> ssize_t {
    if let Some(drawn) = draw(Fault::DatagramUnsent) {
        return failed(&[libc::ENOBUFS], drawn) as ssize_t;
    }
    // SAFETY: the caller's buffer and address.
    unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, address, size) as ssize_t }
}

/// `accept4(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(drawn) = draw(Fault::AcceptFailed) {
        return failed(&[libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS], drawn);
    }
    // SAFETY: the caller's address.
    let accepted = unsafe { libc::syscall(libc::SYS_accept4, descriptor, address, size, flags) } as c_int;
    note_connected(accepted, false);
    accepted
}

/// `connect(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, size: socklen_t) -> c_int {
    if let Some(drawn) = draw(Fault::ConnectFailed) {
        return failed(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS], drawn);
    }
    note_connected(descriptor, true);
    // SAFETY: the caller's address.
    unsafe { libc::syscall(libc::SYS_connect, descriptor, address, size) as c_int }
}

/// `socket(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(drawn) = draw(Fault::SocketFailed) {
        return failed(&[libc::EMFILE, libc::ENFILE, libc::ENOBUFS], drawn);
    }
    // SAFETY: numbers alone.
    let made = unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) } as c_int;
    note_connected(made, false);
    made
}

/// `epoll_wait(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    most: c_int,
    wait: c_int,
) -> c_int {
    if let Some(drawn) = draw(Fault::WaitInterrupted) {
        return failed(&[libc::EINTR], drawn);
    }
    let (mask, size): (*const c_void, size_t) = (std::ptr::null(), 8);
    // SAFETY: the caller's events.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, epoll, events, most, wait, mask, size) as c_int }
}

/// `write(2)`; fails on regular files alone.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if is_file(descriptor) {
        if let Some(drawn) = draw(Fault::FileWriteFailed) {
            return failed(&[libc::ENOSPC, libc::EIO], drawn) as ssize_t;
        }
    }
    // SAFETY: the caller's buffer.
    unsafe { libc::syscall(libc::SYS_write, descriptor, buffer, length) as ssize_t }
}

fn is_file(descriptor: c_int) -> bool {
    let mut stat = std::mem::MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the place for the answer is as large as the kernel's.
    let read = unsafe { libc::syscall(libc::SYS_fstat, descriptor, stat.as_mut_ptr()) };
    // SAFETY: filled in where the call succeeded.
    read == 0 && unsafe { stat.assume_init() }.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// `fsync(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    sync(descriptor, libc::SYS_fsync)
}

/// `fdatasync(2)`.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    sync(descriptor, libc::SYS_fdatasync)
}

fn sync(descriptor: c_int, call: c_long) -> c_int {
    if let Some(drawn) = draw(Fault::FileSyncFailed) {
        return failed(&[libc::EIO], drawn);
    }
    // SAFETY: numbers alone.
    unsafe { libc::syscall(call, descriptor) as c_int }
}

/// `clock_gettime(2)`; the wall clock may have been stepped.
///
/// # Safety
/// As of the function that it replaces.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, reading: *mut timespec) -> c_int {
    // SAFETY: the caller's place for the reading.
    let read = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, reading) } as c_int;
    if read == 0 && clock == libc::CLOCK_REALTIME {
        let mut monotonic = timespec { tv_sec: 0, tv_nsec: 0 };
        // SAFETY: a place of this function's own.
        unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut monotonic) };
        let micros = monotonic.tv_sec * MICROS_PER_SECOND + monotonic.tv_nsec / NANOS_PER_MICRO;
        let step = clock_step(micros);
        // SAFETY: the kernel has just written there.
        unsafe { (*reading).tv_sec += step / MICROS_PER_SECOND };
    }
    read
}
