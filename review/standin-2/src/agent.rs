//! The agent of a site, as docs/protocol.md ("Agents") and docs/design/jobs.md bind it: it works by its own clock, from when
//! it sent the renewal that was answered, for the lease that the answer names. A job's work is a note every 0.1 s.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, kind, tag, Body, DecodeError, Frame, VERSION};
use ravenspar_standin::{Clock, Time, SECOND};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep};
use tokio_util::codec::Framed;

/// What a step takes to be called off.
const MARGIN: Time = SECOND / 4;

/// A site's state and what it has done.
pub struct Site {
    pub name: &'static str,
    clock: Clock,
    life: u64,
    before: Vec<u64>,
    term: u64,
    /// Until when this life may work; `None` until its first renewal was answered.
    until: Option<Time>,
    /// The job in hand, with its token.
    job: Option<(String, u64)>,
    /// When it worked, on what and under which token.
    pub worked: Vec<(Time, String, u64)>,
    /// The lease that answers named last.
    pub told_lease: Time,
    pub notes: Rc<RefCell<Vec<(Time, String)>>>,
}

pub type SharedSite = Rc<RefCell<Site>>;

fn draw(clock: Clock, name: &str) -> u64 {
    let mixed = name
        .bytes()
        .fold(clock.now() as u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    (mixed >> 2).max(1)
}

impl Site {
    pub fn new(name: &'static str, notes: Rc<RefCell<Vec<(Time, String)>>>) -> SharedSite {
        let clock = Clock::default();
        let life = draw(clock, name);
        let (before, worked) = (Vec::new(), Vec::new());
        Rc::new(RefCell::new(Site {
            name,
            clock,
            life,
            before,
            term: 0,
            until: None,
            job: None,
            worked,
            told_lease: 0,
            notes,
        }))
    }

    fn note(&self, text: String) {
        self.notes.borrow_mut().push((self.clock.now(), format!("{}: {text}", self.name)));
    }

    /// Returns true if this life was renewed and not for too long ago.
    pub fn may_work(&self) -> bool {
        self.until.is_some_and(|until| self.clock.now() < until)
    }

    /// Begins another life, as this one is over.
    fn next_life(&mut self, why: &str) {
        self.note(format!("its life is over: {why}"));
        self.before = vec![self.life];
        (self.life, self.until, self.job) = (draw(self.clock, self.name), None, None);
    }

    fn hello(&self) -> Frame {
        let mut frame = Frame::new(kind::SITE);
        frame.numbers(tag::VERSION, &[VERSION]).text(tag::LIFE, &[self.life, 1, 4], self.name);
        self.before.iter().for_each(|life| _ = frame.numbers(tag::BEFORE, &[*life]));
        frame
    }

    fn keep(&self) -> Frame {
        let mut frame = Frame::new(kind::KEEP);
        frame.numbers(tag::SENT, &[self.clock.now() as u64]);
        if let Some((job, token)) = &self.job {
            frame.text(tag::JOB, &[*token], job);
        }
        frame
    }

    /// Takes a frame in. Returns true if a new life has begun, which has to be said.
    fn take(&mut self, body: &[u8]) -> Result<bool, DecodeError> {
        let mut body = Body::new(body)?;
        let kind = body.kind();
        let (mut life, mut sent, mut lease, mut term, mut job) = (0, 0, 0, 0, None);
        while let Some((tag, mut field)) = body.field()? {
            match tag {
                tag::LIFE => life = field.number()?,
                tag::SENT => sent = field.time()?,
                tag::LEASE => lease = field.time()?,
                tag::TERM => term = field.number()?,
                tag::JOB => {
                    let token = field.number()?;
                    job = Some((field.text()?.to_owned(), token));
                }
                _ => {}
            }
        }
        match (kind, job) {
            (kind::KEPT, _) if life == self.life => {
                let until = sent + lease - lease / 64 - MARGIN;
                self.until = Some(self.until.map_or(until, |before| before.max(until)));
                if lease != self.told_lease {
                    self.note(format!("is told a lease of {} s", lease / SECOND));
                    self.told_lease = lease;
                }
            }
            (kind::OVER, _) if life == self.life => {
                self.next_life("a steward says so");
                return Ok(true);
            }
            (kind::GIVE, Some((job, token))) if term >= self.term && life == self.life && self.may_work() => {
                self.term = term;
                if self.job.is_none() {
                    self.note(format!("begins {job} under token {token}"));
                    self.job = Some((job, token));
                }
            }
            (kind::STOP, Some(stopped)) if term >= self.term => {
                self.term = term;
                if self.job.as_ref() == Some(&stopped) {
                    self.note(format!("stops {} as it is told", stopped.0));
                    self.job = None;
                }
            }
            _ => {}
        }
        Ok(false)
    }
}

/// Runs a site's agent for as long as the case does; `at` is where it reaches its steward.
pub async fn run(site: SharedSite, at: SocketAddr) {
    let worker = site.clone();
    tokio::task::spawn_local(async move {
        let mut step = interval(Duration::from_millis(100));
        loop {
            step.tick().await;
            let mut site = worker.borrow_mut();
            if site.until.is_some() && !site.may_work() {
                site.next_life("its lease has run out by its own clock");
            }
            if let Some((job, token)) = site.job.clone() {
                let now = site.clock.now();
                site.worked.push((now, job, token));
            }
        }
    });
    loop {
        if let Ok(socket) = TcpStream::connect(at).await {
            let _ = session(&site, socket).await;
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn session(site: &SharedSite, socket: TcpStream) -> std::io::Result<()> {
    let mut frames = Framed::new(socket, codec(2 * 1024 * 1024));
    let mut said = site.borrow().life;
    let mut hello = site.borrow().hello();
    frames.send(hello.finish()).await?;
    let mut every = interval(Duration::from_millis(500));
    loop {
        tokio::select! {
            _ = every.tick() => {
                let life = site.borrow().life;
                if life != said {
                    said = life;
                    let mut hello = site.borrow().hello();
                    frames.send(hello.finish()).await?;
                }
                let mut keep = site.borrow().keep();
                frames.send(keep.finish()).await?;
            }
            body = frames.next() => {
                let Some(body) = body else { return Ok(()) };
                let body = body?;
                site.borrow_mut().take(&body).map_err(|e| std::io::Error::other(e.to_string()))?;
            }
        }
    }
}
