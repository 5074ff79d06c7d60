use std::sync::mpsc;

use super::*;

/// Hands on what is written, once it is let; then it fails.
struct Reader {
    lets: mpsc::Receiver<()>,
    written: mpsc::Sender<usize>,
    fails: bool,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.lets.recv();
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

fn started(fails: bool) -> (Lines, mpsc::Sender<()>, mpsc::Receiver<usize>) {
    let lines = Lines::default();
    let ((lets, gate), (written, seen)) = (mpsc::channel(), mpsc::channel());
    let writer = lines.clone();
    std::thread::spawn(move || writer.write_to(Reader { lets: gate, written, fails }));
    (lines, lets, seen)
}

const PATIENCE: Duration = Duration::from_secs(60);

#[test]
fn a_reader_that_stands_still_holds_no_line_up_and_costs_those_past_the_bound() {
    let (mut lines, lets, seen) = started(false);
    let line = [b'x'; 1 << 16];
    // The first is on its way to the reader, which does not take it.
    lines.write_all(&line).expect("never fails");
    while !lines.lock().writing {
        std::thread::yield_now();
    }
    for _ in 0..20 {
        lines.write_all(&line).expect("never fails");
    }
    let of = |lines: &Lines| {
        let queue = lines.lock();
        (queue.waiting.len(), queue.left_out)
    };
    assert_eq!(of(&lines), (WAITING, 4));
    assert!(!lines.written(Duration::from_millis(1)));
    lets.send(()).expect("it waits");
    assert_eq!(seen.recv_timeout(PATIENCE), Ok(1 << 16));
    lets.send(()).expect("it waits");
    assert_eq!(seen.recv_timeout(PATIENCE), Ok(WAITING));
    assert!(lines.written(PATIENCE));
    assert_eq!(of(&lines), (0, 0));
}

#[test]
fn a_reader_that_is_gone_costs_its_lines_alone() {
    let (mut lines, lets, seen) = started(true);
    for n in 1..=3 {
        lines.write_all(&vec![b'x'; n]).expect("never fails");
        lets.send(()).expect("it goes on");
        assert_eq!(seen.recv_timeout(PATIENCE), Ok(n));
        assert!(lines.written(PATIENCE));
    }
}
