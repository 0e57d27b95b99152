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
    cuts: watch::Sender<u64>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and passes each connection on to `target`.
    pub(crate) async fn bind(listen: &str, target: String) -> Self {
        let listener = TcpListener::bind(listen).await.expect("a relay binds");
        let passing = Rc::new(Cell::new(Passing::Open));
        let (cuts, _) = watch::channel(0);
        let accepting = accept(listener, target, Rc::clone(&passing), cuts.clone());
        Self {
            passing,
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

async fn accept(
    listener: TcpListener,
    target: String,
    passing: Rc<Cell<Passing>>,
    cuts: watch::Sender<u64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if passing.get() != Passing::Refusing {
            let connection = pass(near, target.clone(), Rc::clone(&passing), cuts.subscribe());
            actix_rt::spawn(connection);
        }
    }
}

async fn pass(
    near: TcpStream,
    target: String,
    passing: Rc<Cell<Passing>>,
    mut cuts: watch::Receiver<u64>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    let there = copy(near_reader, far_writer, &passing, |passing| {
        passing == Passing::Silent
    });
    let back = copy(far_reader, near_writer, &passing, |passing| {
        matches!(passing, Passing::Silent | Passing::NoAnswers)
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
