//! Makes system calls of the process that it is preloaded into fail, in the ways that Linux documents.
//!
//! `LD_PRELOAD` names this library, `SYSCALL_FAULTS` the faults and their rates (see `plan.rs`), for instance
//! `seed=7,recv.interrupted=0.02,send.short=0.1`. Without that variable every call goes through untouched. Whether the
//! n-th call of a kind fails depends on the seed, the kind and n alone. `SYSCALL_FAULTS_COUNTS` may name a file that
//! receives how often each fault was made, as one little-endian `u64` for each `plan::Fault` in its order.
//!
//! Calls are carried out by the kernel's numbers and not by the C library's functions, which are the ones replaced.

#![deny(missing_docs)]

mod faults;
mod hooks;
mod plan;
