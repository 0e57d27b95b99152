//! A TCP relay between two processes that a test can cut.

use std::cell::Cell;
use std::rc::Rc;

use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::task::JoinHandle;
use tokio::sync::watch;

/// Passes bytes between its own address and a target until it is cut.
///
/// A cut closes all connections and refuses new ones, as a lost switch does
/// for the processes behind it.
#[derive(Debug)]
pub(crate) struct Relay {
    open: Rc<Cell<bool>>,
    cuts: watch::Sender<u64>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and passes each connection on to `target`.
    pub(crate) async fn bind(listen: &str, target: String) -> Self {
        let listener = TcpListener::bind(listen).await.expect("a relay binds");
        let open = Rc::new(Cell::new(true));
        let (cuts, _) = watch::channel(0);
        let accepting = actix_rt::spawn(accept(listener, target, Rc::clone(&open), cuts.clone()));
        Self {
            open,
            cuts,
            accepting,
        }
    }

    pub(crate) fn cut(&self) {
        self.open.set(false);
        self.cuts.send_modify(|count| *count += 1);
    }

    pub(crate) fn mend(&self) {
        self.open.set(true);
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
    open: Rc<Cell<bool>>,
    cuts: watch::Sender<u64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if open.get() {
            actix_rt::spawn(pass(near, target.clone(), cuts.subscribe()));
        }
    }
}

async fn pass(mut near: TcpStream, target: String, mut cuts: watch::Receiver<u64>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = cuts.changed() => {}
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
    }
}
