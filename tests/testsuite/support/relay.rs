//! A TCP relay between two processes that a test can cut.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

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
    cuts: watch::Sender<u64>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and passes each connection on to `target`.
    pub(crate) async fn bind(listen: &str, target: String) -> Self {
        let listener = TcpListener::bind(listen).await.expect("a relay binds");
        let passing = Rc::new(Cell::new(Passing::Open));
        let (cuts, _) = watch::channel(0);
        let silenced = Rc::new(Cell::new(0));
        let accepted = Rc::new(Cell::new(0));
        let hop = Hop {
            target,
            passing: Rc::clone(&passing),
            silenced: Rc::clone(&silenced),
            accepted: Rc::clone(&accepted),
        };
        let accepting = accept(listener, hop, cuts.clone());
        Self {
            passing,
            silenced,
            accepted,
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

    /// Connections accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.get()
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

/// What the connections of a relay share.
#[derive(Clone)]
struct Hop {
    target: String,
    passing: Rc<Cell<Passing>>,
    silenced: Rc<Cell<u64>>,
    accepted: Rc<Cell<u64>>,
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
    let there = copy(near_reader, far_writer, &hop.passing, |passing| {
        passing == Passing::Silent || is_silenced()
    });
    let back = copy(far_reader, near_writer, &hop.passing, |passing| {
        matches!(passing, Passing::Silent | Passing::NoAnswers) || is_silenced()
    });
    tokio::select! {
        _ = cuts.changed() => {}
        _ = async { tokio::join!(there, back) } => {}
    }
}

async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    passing: &Cell<Passing>,
    is_held: impl Fn(Passing) -> bool,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let read = reader.read(&mut piece).await?;
        if let Passing::Delayed(delay) = passing.get() {
            actix_rt::time::sleep(delay).await;
        }
        while is_held(passing.get()) {
            actix_rt::time::sleep(HELD_CHECK).await;
        }
        if read == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&piece[..read]).await?;
    }
}
