use std::sync::mpsc;

use super::*;

/// Reports the size of each write after a permit for it, and then fails the write if `fails` is set.
struct Reader {
    permits: mpsc::Receiver<()>,
    written: mpsc::Sender<usize>,
    fails: bool,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.permits.recv();
        let _ = self.written.send(bytes.len());
        if self.fails {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start_writer(fails: bool) -> (LogQueue, mpsc::Sender<()>, mpsc::Receiver<usize>) {
    let lines = LogQueue::default();
    let ((permits, permitted), (written, seen)) = (mpsc::channel(), mpsc::channel());
    let writer = lines.clone();
    std::thread::spawn(move || writer.write_to(Reader { permits: permitted, written, fails }));
    (lines, permits, seen)
}

const TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn a_stalled_reader_blocks_no_line_and_lines_over_the_capacity_are_dropped() {
    let (mut lines, permits, seen) = start_writer(false);
    let line = [b'x'; 1 << 16];
    // The writer takes the first line, and waits for the reader.
    lines.write_all(&line).expect("writes never fail");
    while !lines.lock().is_writing {
        std::thread::yield_now();
    }
    for _ in 0..20 {
        lines.write_all(&line).expect("writes never fail");
    }
    let counts = |queue: &LogQueue| {
        let state = queue.lock();
        (state.waiting.len(), state.left_out)
    };
    assert_eq!(counts(&lines), (MAX_QUEUED_BYTES, 4));
    assert!(!lines.wait_until_written(Duration::from_millis(1)));
    permits.send(()).expect("the writer is waiting");
    assert_eq!(seen.recv_timeout(TIMEOUT), Ok(1 << 16));
    permits.send(()).expect("the writer is waiting");
    assert_eq!(seen.recv_timeout(TIMEOUT), Ok(MAX_QUEUED_BYTES));
    assert!(lines.wait_until_written(TIMEOUT));
    assert_eq!(counts(&lines), (0, 0));
}

#[test]
fn a_closed_reader_loses_its_lines_but_does_not_stop_the_writer() {
    let (mut lines, permits, seen) = start_writer(true);
    for n in 1..=3 {
        lines.write_all(&vec![b'x'; n]).expect("writes never fail");
        permits.send(()).expect("the writer is running");
        assert_eq!(seen.recv_timeout(TIMEOUT), Ok(n));
        assert!(lines.wait_until_written(TIMEOUT));
    }
}
