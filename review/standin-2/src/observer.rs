//! A forwarder that forwards nothing: it joins, answers what it is asked, and notes every line that the steward
//! publishes, with the server's name.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, kind, tag, Body, DecodeError, Frame, MAX_BODY_FROM_STEWARD, VERSION};
use ravenspar_standin::{Clock, Time};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The lines published so far: when, slice, and the server's name (`None`: the line was dropped).
pub type Published = Rc<RefCell<Vec<(Time, u64, Option<String>)>>>;

/// Follows the steward at this address as the forwarder of this number, for as long as the case runs.
pub async fn follow(at: SocketAddr, number: u64, clock: Clock, published: Published) {
    for boot in 1.. {
        if let Ok(socket) = TcpStream::connect(at).await {
            let _ = session(socket, number, boot, clock, &published).await;
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn session(
    socket: TcpStream,
    number: u64,
    boot: u64,
    clock: Clock,
    published: &Published,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut frames = Framed::new(socket, codec(MAX_BODY_FROM_STEWARD));
    let mut hello = Frame::new(kind::HELLO);
    hello.numbers(tag::VERSION, &[VERSION]).numbers(tag::PROXY, &[number]).numbers(tag::BOOT, &[boot]);
    frames.send(hello.finish()).await?;
    let mut names = BTreeMap::new();
    let mut ping = interval(Duration::from_millis(500));
    loop {
        tokio::select! {
            _ = ping.tick() => {
                frames.send(Frame::new(kind::PING).numbers(tag::SENT, &[clock.now() as u64]).finish()).await?;
            }
            body = frames.next() => {
                let Some(body) = body else { return Ok(()) };
                let body = body?;
                if let Some(answer) = take(&body, &mut names, clock, published).map_err(|e| e.to_string())? {
                    answer_with(&mut frames, answer).await?;
                }
            }
        }
    }
}

async fn answer_with(
    frames: &mut Framed<TcpStream, LengthDelimitedCodec>,
    mut answer: Frame,
) -> std::io::Result<()> {
    frames.send(answer.finish()).await
}

fn take(
    body: &[u8],
    names: &mut BTreeMap<u64, String>,
    clock: Clock,
    published: &Published,
) -> Result<Option<Frame>, DecodeError> {
    let mut body = Body::new(body)?;
    let (mut answer, mut asked) = (Frame::new(kind::ANSWER), false);
    while let Some((tag, mut field)) = body.field()? {
        match tag {
            tag::SERVER => {
                let server = field.number()?;
                names.insert(server, field.text()?.to_owned());
            }
            tag::LINE | tag::HELD => {
                let (slice, server) = (field.number()?, field.number()?);
                published.borrow_mut().push((clock.now(), slice, names.get(&server).cloned()));
            }
            tag::DROP => published.borrow_mut().push((clock.now(), field.number()?, None)),
            tag::MARK | tag::END => {
                answer.numbers(tag, &[field.number()?]);
                asked = true;
            }
            _ => {}
        }
    }
    Ok(asked.then_some(answer))
}
