//! A TCP relay between two processes that a test can cut.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::task::JoinHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Bytes passed on at once.
const PIECE: usize = 16 * 1024;

/// How often a held connection looks whether it may go on.
const HELD_CHECK: Duration = Duration::from_millis(20);

/// What a relay does with the bytes of its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Passing {
    /// Passes them on.
    #[default]
    Open,
    /// Closes new connections at once.
    Refusing,
    /// Passes them on this much later.
    Delayed(Duration),
    /// Holds them back in both directions, without closing anything.
    Silent,
    /// Holds back what the target sends.
    NoAnswers,
    /// Adds bytes that are no answer to each piece that the target sends.
    Spoiled(Junk),
}

/// Longest junk on one connection.
const MAX_JUNK_BYTES: usize = 64 << 20;

/// Bytes that are no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Junk {
    pub(crate) bytes: &'static str,
    /// Whether they come before a piece, not after it.
    pub(crate) comes_first: bool,
    /// Whether they come without an end, until the connection is closed or
    /// [`MAX_JUNK_BYTES`] were sent.
    pub(crate) is_endless: bool,
}

impl Junk {
    async fn write(self, writer: &mut OwnedWriteHalf) -> io::Result<()> {
        if !self.is_endless {
            return writer.write_all(self.bytes.as_bytes()).await;
        }
        let piece = self.bytes.repeat(PIECE / self.bytes.len());
        for _ in 0..MAX_JUNK_BYTES / PIECE {
            writer.write_all(piece.as_bytes()).await?;
        }
        Ok(())
    }
}

/// Direction in which bytes are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// Passes bytes between its own address and a target until it is cut.
///
/// A cut closes all connections and refuses new ones, as a lost switch does
/// for the processes behind it.
#[derive(Debug)]
pub(crate) struct Relay {
    passing: Rc<Cell<Passing>>,
    /// Connections that were accepted before this many hold everything back.
    silenced: Rc<Cell<u64>>,
    accepted: Rc<Cell<u64>>,
    link: Rc<Link>,
    refused: Rc<RefCell<HashSet<String>>>,
    cuts: watch::Sender<u64>,
    accepting: JoinHandle<()>,
}

/// What carries the target's bytes, of all connections together.
#[derive(Debug)]
struct Link {
    /// Bytes a second, if it has a limit.
    pace: Cell<Option<u32>>,
    /// Time at which all that was sent before has arrived.
    free_at: Cell<Instant>,
    /// Bytes passed so far.
    passed: Cell<u64>,
}

impl Link {
    fn new() -> Self {
        Self {
            pace: Cell::default(),
            free_at: Cell::new(Instant::now()),
            passed: Cell::default(),
        }
    }

    /// Waits until so many bytes have passed, behind those before them.
    async fn carry(&self, bytes: usize) {
        if let Some(pace) = self.pace.get() {
            let time = Duration::from_secs(1).mul_f64(bytes as f64 / f64::from(pace));
            let free_at = self.free_at.get().max(Instant::now()) + time;
            self.free_at.set(free_at);
            actix_rt::time::sleep_until(free_at.into()).await;
        }
        self.passed.update(|passed| passed + bytes as u64);
    }
}

impl Relay {
    /// Listens on `listen` and passes each connection on to `target`.
    pub(crate) async fn bind(listen: &str, target: String) -> Self {
        let listener = TcpListener::bind(listen).await.expect("a relay binds");
        let passing = Rc::new(Cell::new(Passing::Open));
        let (cuts, _) = watch::channel(0);
        let silenced = Rc::new(Cell::new(0));
        let accepted = Rc::new(Cell::new(0));
        let refused = Rc::default();
        let link = Rc::new(Link::new());
        let hop = Hop {
            link: Rc::clone(&link),
            target,
            passing: Rc::clone(&passing),
            silenced: Rc::clone(&silenced),
            accepted: Rc::clone(&accepted),
            refused: Rc::clone(&refused),
        };
        let accepting = accept(listener, hop, cuts.clone());
        Self {
            passing,
            silenced,
            accepted,
            link,
            refused,
            cuts,
            accepting: actix_rt::spawn(accepting),
        }
    }

    pub(crate) fn cut(&self) {
        self.pass(Passing::Refusing);
        self.reset();
    }

    pub(crate) fn mend(&self) {
        self.pass(Passing::Open);
    }

    /// Closes all connections; new ones are passed on as before.
    pub(crate) fn reset(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }

    /// Holds back all bytes of the connections that are open now, for good and
    /// without closing them; new connections are passed on.
    pub(crate) fn silence(&self) {
        self.silenced.set(self.accepted.get());
    }

    /// Passes on at most so many bytes a second of what the target sends, over all
    /// connections.
    pub(crate) fn limit_pace(&self, bytes_per_second: u32) {
        self.link.pace.set(Some(bytes_per_second));
    }

    /// Bytes of the target that were passed on so far.
    pub(crate) fn passed(&self) -> u64 {
        self.link.passed.get()
    }

    /// Connections accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.get()
    }

    /// Returns true if an answer of 503 to this request was passed on, on a connection that
    /// was open on both sides.
    pub(crate) fn has_passed_refusal(&self, id: &str) -> bool {
        self.refused.borrow().contains(id)
    }

    /// Changes what becomes of all bytes from now on.
    pub(crate) fn pass(&self, passing: Passing) {
        self.passing.set(passing);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Id of the request that an answer with 503 names, where a piece begins with its head.
fn parse_refused_id(piece: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(piece);
    let head = text.strip_prefix("HTTP/1.1 503 ")?;
    let mut lines = head.lines().take_while(|line| !line.is_empty());
    let id = lines.find_map(|line| line.strip_prefix("x-carawayrun-request-id: "));
    id.map(String::from)
}

/// What the connections of a relay share.
#[derive(Clone)]
struct Hop {
    target: String,
    passing: Rc<Cell<Passing>>,
    silenced: Rc<Cell<u64>>,
    accepted: Rc<Cell<u64>>,
    link: Rc<Link>,
    /// Ids of the requests whose refusals were passed on.
    refused: Rc<RefCell<HashSet<String>>>,
}

async fn accept(listener: TcpListener, hop: Hop, cuts: watch::Sender<u64>) {
    while let Ok((near, _)) = listener.accept().await {
        if hop.passing.get() != Passing::Refusing {
            let number = hop.accepted.get();
            hop.accepted.set(number + 1);
            actix_rt::spawn(pass(near, hop.clone(), number, cuts.subscribe()));
        }
    }
}

async fn pass(near: TcpStream, hop: Hop, number: u64, mut cuts: watch::Receiver<u64>) {
    let Ok(far) = TcpStream::connect(&hop.target).await else {
        return;
    };
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    let is_silenced = || number < hop.silenced.get();
    let is_left = Cell::new(false);
    let (to, from) = (Direction::ToTarget, Direction::FromTarget);
    let there = copy(near_reader, far_writer, &hop, to, &is_left, is_silenced);
    let back = copy(far_reader, near_writer, &hop, from, &is_left, is_silenced);
    tokio::select! {
        _ = cuts.changed() => {}
        _ = async { tokio::join!(there, back) } => {}
    }
}

// `is_left` becomes true once the near side has closed its connection.
async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    hop: &Hop,
    direction: Direction,
    is_left: &Cell<bool>,
    is_silenced: impl Fn() -> bool,
) -> io::Result<()> {
    let passing = &hop.passing;
    let is_answer = direction == Direction::FromTarget;
    let is_held = || match passing.get() {
        Passing::Silent => true,
        Passing::NoAnswers => is_answer,
        _ => false,
    };
    let mut piece = vec![0; PIECE];
    loop {
        let read = reader.read(&mut piece).await;
        if !is_answer && !matches!(read, Ok(1..)) {
            is_left.set(true);
        }
        let read = read?;
        if let Passing::Delayed(delay) = passing.get() {
            actix_rt::time::sleep(delay).await;
        }
        while is_held() || is_silenced() {
            actix_rt::time::sleep(HELD_CHECK).await;
        }
        if read == 0 {
            return writer.shutdown().await;
        }
        if is_answer {
            hop.link.carry(read).await;
        }
        let junk = match passing.get() {
            Passing::Spoiled(junk) if is_answer => Some(junk),
            _ => None,
        };
        if let Some(junk) = junk.filter(|junk| junk.comes_first) {
            junk.write(&mut writer).await?;
        }
        writer.write_all(&piece[..read]).await?;
        if is_answer && !is_left.get() {
            let refused = parse_refused_id(&piece[..read]);
            hop.refused.borrow_mut().extend(refused);
        }
        if let Some(junk) = junk.filter(|junk| !junk.comes_first) {
            junk.write(&mut writer).await?;
        }
    }
}
