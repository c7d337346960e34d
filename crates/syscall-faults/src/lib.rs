//! Injects system call failures that Linux documents into a process under test, which loads this library by
//! `LD_PRELOAD`.
//!
//! `LD_PRELOAD` names this library. `SYSCALL_FAULTS` lists the faults and their rates (see `plan.rs`), for
//! instance `seed=7,recv.interrupted=0.02,send.short=0.1`. If `SYSCALL_FAULTS` is unset, no faults are
//! injected. Whether a fault is injected into the n-th call that it can affect depends only on the seed, the
//! fault and n. `SYSCALL_FAULTS_COUNTS` may name a file. The library writes to this file how often each fault
//! was injected, as one little-endian `u64` per `plan::Fault`, in the order of the enum.
//!
//! The replacement functions make their system calls through `syscall(2)`. They can't call the C library's
//! functions of the same names, because they replace these functions.

#![deny(missing_docs)]

mod faults;
mod hooks;
mod plan;
