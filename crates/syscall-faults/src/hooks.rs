//! Replacements of C library functions. Each replacement injects the faults of its function that the plan
//! contains, and otherwise makes the system call.

use crate::faults::{clock_offset, draw, is_outbound, set_outbound};
use crate::plan::{Fault, LONGEST_STALL_MICROS};
use libc::{
    c_int, c_long, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;

/// Sets `errno` to one of `errors`, which the random number `random` selects, and returns -1.
fn fail_with(errors: &[c_int], random: u64) -> c_int {
    let error = errors[(random % errors.len() as u64) as usize];
    // SAFETY: `__errno_location` returns a valid pointer to the `errno` of the current thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns a length from 1 to `length - 1`, which the random number `random` selects. Returns `length` itself
/// if `length` is 0 or 1.
fn shortened(length: size_t, random: u64) -> size_t {
    if length < 2 {
        return length;
    }
    1 + (random % (length as u64 - 1)) as size_t
}

/// Delays the calling thread by less than [`LONGEST_STALL_MICROS`] if [`Fault::SendStalled`] is injected.
fn maybe_stall() {
    let Some(random) = draw(Fault::SendStalled) else { return };
    let nanos = (random % LONGEST_STALL_MICROS) as i64 * NANOS_PER_MICRO;
    let delay = timespec { tv_sec: 0, tv_nsec: nanos };
    // SAFETY: `delay` is valid during `nanosleep`, which accepts a null pointer for the remaining time.
    unsafe { libc::syscall(libc::SYS_nanosleep, &delay, std::ptr::null::<timespec>()) };
}

/// Shuts down a connection that this process opened, if [`Fault::ReceiveBroken`] is injected. Returns the
/// result of the failed `recv`, or `None` if the fault is not injected.
fn maybe_break_connection(descriptor: c_int) -> Option<c_int> {
    let random = is_outbound(descriptor).then(|| draw(Fault::ReceiveBroken)).flatten()?;
    // SAFETY: `shutdown` takes only integers.
    unsafe { libc::syscall(libc::SYS_shutdown, descriptor, libc::SHUT_RDWR) };
    Some(fail_with(&[libc::ETIMEDOUT, libc::EHOSTUNREACH], random))
}

/// Replaces `recv(2)`. The replacement may return EINTR, break the connection or read fewer bytes than
/// requested.
///
/// # Safety
/// The caller must meet the requirements of the C library's `recv`.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(random) = draw(Fault::ReceiveInterrupted) {
        return fail_with(&[libc::EINTR], random) as ssize_t;
    }
    if let Some(result) = maybe_break_connection(descriptor) {
        return result as ssize_t;
    }
    let length = draw(Fault::ReceiveShort).map_or(length, |random| shortened(length.min(64), random));
    let (address, size) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
    // SAFETY: the caller's buffer is valid for the length that the caller passed, and `length` is at most
    // this length.
    unsafe { libc::syscall(libc::SYS_recvfrom, descriptor, buffer, length, flags, address, size) as ssize_t }
}

/// Replaces `readv(2)`. The replacement may return EINTR.
///
/// # Safety
/// The caller must meet the requirements of the C library's `readv`.
#[no_mangle]
pub unsafe extern "C" fn readv(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if let Some(random) = draw(Fault::ReceiveInterrupted) {
        return fail_with(&[libc::EINTR], random) as ssize_t;
    }
    // SAFETY: the caller's `buffers` hold `count` valid entries.
    unsafe { libc::syscall(libc::SYS_readv, descriptor, buffers, count) as ssize_t }
}

/// Replaces `send(2)`. The replacement may return EINTR, delay the write or write fewer bytes than requested.
///
/// # Safety
/// The caller must meet the requirements of the C library's `send`.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(random) = draw(Fault::SendInterrupted) {
        return fail_with(&[libc::EINTR], random) as ssize_t;
    }
    maybe_stall();
    let length = draw(Fault::SendShort).map_or(length, |random| shortened(length, random));
    let address = std::ptr::null::<sockaddr>();
    // SAFETY: the caller's buffer is valid for the length that the caller passed, and `length` is at most
    // this length.
    unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, address, 0) as ssize_t }
}

/// Replaces `writev(2)`. The replacement may return EINTR, delay the write or write only a part of the first
/// buffer.
///
/// # Safety
/// The caller must meet the requirements of the C library's `writev`.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if let Some(random) = draw(Fault::SendInterrupted) {
        return fail_with(&[libc::EINTR], random) as ssize_t;
    }
    maybe_stall();
    if count > 0 {
        if let Some(random) = draw(Fault::SendShort) {
            // SAFETY: `count` is positive, so the caller passed at least one valid entry.
            let first = unsafe { &*buffers };
            let length = shortened(first.iov_len, random);
            // SAFETY: the caller's first buffer is valid for `iov_len` bytes, and `length` is at most
            // `iov_len`.
            return unsafe { libc::syscall(libc::SYS_write, descriptor, first.iov_base, length) as ssize_t };
        }
    }
    // SAFETY: the caller's `buffers` hold `count` valid entries.
    unsafe { libc::syscall(libc::SYS_writev, descriptor, buffers, count) as ssize_t }
}

/// Replaces `sendto(2)`. The replacement may fail with ENOBUFS.
///
/// # Safety
/// The caller must meet the requirements of the C library's `sendto`.
#[no_mangle]
pub unsafe extern "C" fn sendto(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
    address: *const sockaddr,
    size: socklen_t,
) -> ssize_t {
    if let Some(random) = draw(Fault::DatagramUnsent) {
        return fail_with(&[libc::ENOBUFS], random) as ssize_t;
    }
    // SAFETY: the caller's buffer and address are valid for the lengths passed with them.
    unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, address, size) as ssize_t }
}

/// Replaces `accept4(2)`. The replacement may fail as [`Fault::AcceptFailed`] describes.
///
/// # Safety
/// The caller must meet the requirements of the C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(random) = draw(Fault::AcceptFailed) {
        return fail_with(&[libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS], random);
    }
    // SAFETY: the caller's `address` and `size` are valid or null.
    let accepted = unsafe { libc::syscall(libc::SYS_accept4, descriptor, address, size, flags) } as c_int;
    set_outbound(accepted, false);
    accepted
}

/// Replaces `connect(2)`. The replacement may fail as [`Fault::ConnectFailed`] describes.
///
/// # Safety
/// The caller must meet the requirements of the C library's `connect`.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, size: socklen_t) -> c_int {
    if let Some(random) = draw(Fault::ConnectFailed) {
        return fail_with(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS], random);
    }
    set_outbound(descriptor, true);
    // SAFETY: the caller's address is valid for `size` bytes.
    unsafe { libc::syscall(libc::SYS_connect, descriptor, address, size) as c_int }
}

/// Replaces `socket(2)`. The replacement may fail as [`Fault::SocketFailed`] describes.
///
/// # Safety
/// The caller must meet the requirements of the C library's `socket`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(random) = draw(Fault::SocketFailed) {
        return fail_with(&[libc::EMFILE, libc::ENFILE, libc::ENOBUFS], random);
    }
    // SAFETY: `socket` takes only integers.
    let created = unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) } as c_int;
    set_outbound(created, false);
    created
}

/// Replaces `epoll_wait(2)`. The replacement may return EINTR.
///
/// # Safety
/// The caller must meet the requirements of the C library's `epoll_wait`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(random) = draw(Fault::WaitInterrupted) {
        return fail_with(&[libc::EINTR], random);
    }
    let (mask, mask_size): (*const c_void, size_t) = (std::ptr::null(), 8);
    // SAFETY: the caller's `events` have room for `max_events` entries, and `epoll_pwait` accepts a null
    // signal mask.
    unsafe {
        libc::syscall(libc::SYS_epoll_pwait, epoll, events, max_events, timeout, mask, mask_size) as c_int
    }
}

/// Replaces `write(2)`. The replacement may fail if the descriptor refers to a regular file.
///
/// # Safety
/// The caller must meet the requirements of the C library's `write`.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if is_regular_file(descriptor) {
        if let Some(random) = draw(Fault::FileWriteFailed) {
            return fail_with(&[libc::ENOSPC, libc::EIO], random) as ssize_t;
        }
    }
    // SAFETY: the caller's buffer is valid for `length` bytes.
    unsafe { libc::syscall(libc::SYS_write, descriptor, buffer, length) as ssize_t }
}

/// Whether the descriptor refers to a regular file.
fn is_regular_file(descriptor: c_int) -> bool {
    let mut stat = std::mem::MaybeUninit::<libc::stat>::uninit();
    // SAFETY: `stat` is as large as the structure that the kernel's `fstat` fills in.
    let result = unsafe { libc::syscall(libc::SYS_fstat, descriptor, stat.as_mut_ptr()) };
    // SAFETY: the kernel filled `stat` in if `fstat` succeeded, which `result == 0` shows.
    result == 0 && unsafe { stat.assume_init() }.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Replaces `fsync(2)`. The replacement may fail with EIO.
///
/// # Safety
/// The caller must meet the requirements of the C library's `fsync`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    sync(descriptor, libc::SYS_fsync)
}

/// Replaces `fdatasync(2)`. The replacement may fail with EIO.
///
/// # Safety
/// The caller must meet the requirements of the C library's `fdatasync`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    sync(descriptor, libc::SYS_fdatasync)
}

/// Makes the system call with this number, which synchronizes a file, unless [`Fault::FileSyncFailed`] is
/// injected.
fn sync(descriptor: c_int, number: c_long) -> c_int {
    if let Some(random) = draw(Fault::FileSyncFailed) {
        return fail_with(&[libc::EIO], random);
    }
    // SAFETY: `fsync` and `fdatasync` take only an integer.
    unsafe { libc::syscall(number, descriptor) as c_int }
}

/// Replaces `clock_gettime(2)`. The replacement may step `CLOCK_REALTIME` by whole seconds.
///
/// # Safety
/// The caller must meet the requirements of the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, reading: *mut timespec) -> c_int {
    // SAFETY: the caller's pointer `reading` is valid.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, reading) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let mut monotonic = timespec { tv_sec: 0, tv_nsec: 0 };
        // SAFETY: the pointer to `monotonic` is valid during `clock_gettime`.
        unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut monotonic) };
        let micros = monotonic.tv_sec * MICROS_PER_SECOND + monotonic.tv_nsec / NANOS_PER_MICRO;
        let offset = clock_offset(micros);
        // SAFETY: `clock_gettime` succeeded, so the kernel has just written to `reading`, and the pointer is
        // valid.
        unsafe { (*reading).tv_sec += offset / MICROS_PER_SECOND };
    }
    result
}
