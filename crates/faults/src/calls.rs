//! The functions of the C library that this library interposes.

use std::ffi::{c_char, c_int, c_void, CStr};
use std::os::fd::AsRawFd;
use std::sync::OnceLock;

use libc::{epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::schedule::{Fault, Schedule};

/// The loaded schedule.
struct State {
    schedule: Schedule,
    started_ms: u64,
    /// Where injected faults are recorded.
    delivered: Option<std::fs::File>,
}

static STATE: OnceLock<State> = OnceLock::new();

/// Loads the schedule before `main`, while there is a single thread.
extern "C" fn load() {
    let Some(path) = std::env::var_os(crate::SCHEDULE) else { return };
    let schedule = Schedule::parse(&std::fs::read_to_string(path).unwrap_or_default());
    let delivered_path = std::env::var_os(crate::DELIVERED);
    let append = |path| std::fs::OpenOptions::new().append(true).create(true).open(path).ok();
    let _ =
        STATE.set(State { schedule, started_ms: monotonic_ms(), delivered: delivered_path.and_then(append) });
}

#[used]
#[link_section = ".init_array"]
static LOAD: extern "C" fn() = load;

/// The address of the C library's function of this name.
fn real(name: &CStr) -> *mut c_void {
    // SAFETY: the name is NUL-terminated; the next library that defines the function is the C library.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast::<c_char>()) }
}

/// Calls the C library's function that the function of the same name here replaces.
macro_rules! real {
    ($name:literal, fn($($argument:ty),*) -> $result:ty, $($value:expr),*) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        let at = *REAL.get_or_init(|| real($name) as usize);
        // SAFETY: the C library documents this signature for the function of this name.
        let function: unsafe extern "C" fn($($argument),*) -> $result = unsafe { std::mem::transmute(at) };
        // SAFETY: the caller's arguments are passed on unchanged.
        unsafe { function($($value),*) }
    }};
}

fn monotonic_ms() -> u64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    real!(c"clock_gettime", fn(c_int, *mut timespec) -> c_int, libc::CLOCK_MONOTONIC, &mut time);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// The delay before a torn write. Whatever doesn't wait for the write to finish has happened by then.
const TORN_WRITE_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Returns and records the fault to inject into this call, if any. A stall is served here.
fn scheduled_fault(call: &str) -> Option<Fault> {
    let state = STATE.get()?;
    let fault = state.schedule.fault(call, monotonic_ms() - state.started_ms)?;
    if let Some(file) = &state.delivered {
        let line = format!("{call} {fault:?}\n");
        // SAFETY: the line outlives the call. A raw system call, as `write` itself may be made to fail.
        unsafe { libc::syscall(libc::SYS_write, file.as_raw_fd(), line.as_ptr(), line.len()) };
    }
    if let Fault::Stall(until_ms) = fault {
        let left_ms = (state.started_ms + until_ms).saturating_sub(monotonic_ms());
        std::thread::sleep(std::time::Duration::from_millis(left_ms));
        return None;
    }
    Some(fault)
}

/// Sets errno and returns -1.
fn fail<T: From<i8>>(error: i32) -> T {
    // SAFETY: the address of the thread's errno is valid.
    unsafe { *libc::__errno_location() = error };
    T::from(-1)
}

/// Returns true for an IPv4 socket, as opposed to the socket pairs by which a runtime wakes itself.
fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length) = (0 as c_int, std::mem::size_of::<c_int>() as socklen_t);
    let at = (&raw mut domain).cast::<c_void>();
    // SAFETY: the pointer and the length are those of an integer.
    let done = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, at, &mut length) };
    done == 0 && domain == libc::AF_INET
}

/// Returns how many bytes a call on a TCP socket may transfer, or the errno with which it fails.
fn transfer_limit(call: &str, fd: c_int, length: size_t) -> Result<size_t, i32> {
    if STATE.get().is_none() || !is_tcp(fd) {
        return Ok(length);
    }
    match scheduled_fault(call) {
        Some(Fault::Error(error)) => Err(error),
        Some(Fault::Short) => Ok(length.min(1)),
        _ => Ok(length),
    }
}

/// Fails the call if the schedule has an error for it; returns the result to return then.
fn injected_failure(call: &str) -> Option<c_int> {
    match scheduled_fault(call)? {
        Fault::Error(error) => Some(fail(error)),
        _ => None,
    }
}

#[no_mangle]
pub extern "C" fn accept4(fd: c_int, to: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int {
    if let Some(failed) = injected_failure("accept4") {
        return failed;
    }
    real!(c"accept4", fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int, fd, to, length, flags)
}

#[no_mangle]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET {
        if let Some(failed) = injected_failure("socket") {
            return failed;
        }
    }
    real!(c"socket", fn(c_int, c_int, c_int) -> c_int, domain, kind, protocol)
}

#[no_mangle]
pub extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(failed) = injected_failure("connect") {
        return failed;
    }
    real!(c"connect", fn(c_int, *const sockaddr, socklen_t) -> c_int, fd, to, length)
}

#[no_mangle]
pub extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    if let Some(failed) = injected_failure("listen") {
        return failed;
    }
    real!(c"listen", fn(c_int, c_int) -> c_int, fd, backlog)
}

#[no_mangle]
pub extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(failed) = injected_failure("epoll_wait") {
        return failed;
    }
    real!(c"epoll_wait", fn(c_int, *mut epoll_event, c_int, c_int) -> c_int, fd, events, max_events, timeout)
}

#[no_mangle]
pub extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer_limit("recv", fd, length) {
        Ok(length) => {
            real!(c"recv", fn(c_int, *mut c_void, size_t, c_int) -> ssize_t, fd, to, length, flags)
        }
        Err(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer_limit("send", fd, length) {
        Ok(length) => {
            real!(c"send", fn(c_int, *const c_void, size_t, c_int) -> ssize_t, fd, from, length, flags)
        }
        Err(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn writev(fd: c_int, from: *const iovec, count: c_int) -> ssize_t {
    if is_tcp(fd) {
        if let Some(Fault::Error(error)) = scheduled_fault("send") {
            return fail(error);
        }
    }
    real!(c"writev", fn(c_int, *const iovec, c_int) -> ssize_t, fd, from, count)
}

fn is_file(fd: c_int) -> bool {
    has_file_type(fd, libc::S_IFREG)
}

fn has_file_type(fd: c_int, file_type: libc::mode_t) -> bool {
    let mut status = std::mem::MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the buffer is a `stat`.
    if unsafe { libc::fstat(fd, status.as_mut_ptr()) } != 0 {
        return false;
    }
    // SAFETY: the successful call initialized it.
    let status = unsafe { status.assume_init() };
    status.st_mode & libc::S_IFMT == file_type
}

#[no_mangle]
pub extern "C" fn read(fd: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    let mut length = length;
    if STATE.get().is_some() && is_file(fd) {
        match scheduled_fault("read") {
            Some(Fault::Error(error)) => return fail(error),
            Some(Fault::Short) => length = length.min(1),
            _ => {}
        }
    }
    real!(c"read", fn(c_int, *mut c_void, size_t) -> ssize_t, fd, to, length)
}

#[no_mangle]
pub extern "C" fn clock_gettime(clock: c_int, to: *mut timespec) -> c_int {
    let done = real!(c"clock_gettime", fn(c_int, *mut timespec) -> c_int, clock, to);
    if let (0, libc::CLOCK_REALTIME, Some(state)) = (done, clock, STATE.get()) {
        // SAFETY: the successful call has just written there.
        unsafe { (*to).tv_sec += state.schedule.clock_offset_s(monotonic_ms() - state.started_ms) };
    }
    done
}

/// Returns the fault to inject into a call that modifies a file.
fn file_fault(call: &str, fd: c_int) -> Option<Fault> {
    if STATE.get().is_some() && is_file(fd) {
        scheduled_fault(call)
    } else {
        None
    }
}

#[no_mangle]
pub extern "C" fn pwrite64(fd: c_int, from: *const c_void, length: size_t, at: i64) -> ssize_t {
    let mut length = length;
    match file_fault("pwrite", fd) {
        Some(Fault::Error(error)) => return fail(error),
        Some(Fault::Short) => length = length.min(1),
        Some(Fault::Torn(percent)) => {
            std::thread::sleep(TORN_WRITE_DELAY);
            let part = length * percent as size_t / 100;
            real!(c"pwrite64", fn(c_int, *const c_void, size_t, i64) -> ssize_t, fd, from, part, at);
            // SAFETY: no memory is accessed; the process ends here.
            unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
        }
        _ => {}
    }
    real!(c"pwrite64", fn(c_int, *const c_void, size_t, i64) -> ssize_t, fd, from, length, at)
}

#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(Fault::Error(error)) = file_fault("fsync", fd) {
        return fail(error);
    }
    if STATE.get().is_some() && has_file_type(fd, libc::S_IFDIR) {
        if let Some(failed) = injected_failure("fsync_folder") {
            return failed;
        }
    }
    real!(c"fsync", fn(c_int) -> c_int, fd)
}

#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Some(Fault::Error(error)) = file_fault("fsync", fd) {
        return fail(error);
    }
    real!(c"fdatasync", fn(c_int) -> c_int, fd)
}
