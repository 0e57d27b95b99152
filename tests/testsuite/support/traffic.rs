//! Concurrent callers whose requests and answers are recorded.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use actix_rt::task::JoinHandle;

use super::caller::{Answer, Call, Caller};

/// One request and what came back.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    /// Unique mark of the request, chosen by the test.
    pub(crate) mark: String,
    /// Number of the call in the order of all calls and responses of the run.
    pub(crate) called: usize,
    /// Number of the response in the same order.
    pub(crate) answered: usize,
    pub(crate) answer: Answer,
}

/// Callers that send requests until they are stopped.
#[derive(Debug)]
pub(crate) struct Traffic {
    running: Rc<Cell<bool>>,
    exchanges: Rc<RefCell<Vec<Exchange>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts one task for each of `callers`; `make` builds a request from its
    /// unique mark.
    pub(crate) fn spawn(callers: &[Caller], make: impl Fn(&str) -> Call + Clone + 'static) -> Self {
        let running = Rc::new(Cell::new(true));
        let exchanges = Rc::new(RefCell::new(Vec::new()));
        let order = Rc::new(Cell::new(0));
        let tasks = callers.iter().cloned().enumerate().map(|(number, caller)| {
            let running = Rc::clone(&running);
            let exchanges = Rc::clone(&exchanges);
            let order = Rc::clone(&order);
            let make = make.clone();
            actix_rt::spawn(async move {
                for turn in 0.. {
                    if !running.get() {
                        break;
                    }
                    let mark = format!("{number}-{turn}");
                    let called = next(&order);
                    let answer = caller.send(make(&mark)).await;
                    let answered = next(&order);
                    let refused = !answer.is_ok();
                    exchanges.borrow_mut().push(Exchange {
                        mark,
                        called,
                        answered,
                        answer,
                    });
                    if refused {
                        actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
                    }
                }
            })
        });
        let tasks = tasks.collect();
        Self {
            running,
            exchanges,
            tasks,
        }
    }

    /// Number of answers so far that were a success.
    pub(crate) fn succeeded(&self) -> usize {
        self.exchanges
            .borrow()
            .iter()
            .filter(|exchange| exchange.answer.is_ok())
            .count()
    }

    /// Number of answers so far.
    pub(crate) fn answered(&self) -> usize {
        self.exchanges.borrow().len()
    }

    /// Waits until `more` further answers were a success.
    pub(crate) async fn more_succeed(&self, more: usize) {
        let wanted = self.succeeded() + more;
        super::eventually("requests succeed", || async { self.succeeded() >= wanted }).await;
    }

    /// Waits until `more` further answers came, whatever they were.
    pub(crate) async fn more_answered(&self, more: usize) {
        let wanted = self.answered() + more;
        super::eventually("requests are answered", || async {
            self.answered() >= wanted
        })
        .await;
    }

    /// Stops the callers after their present request.
    pub(crate) async fn stop(self) -> Vec<Exchange> {
        self.running.set(false);
        for task in self.tasks {
            task.await.expect("a caller does not panic");
        }
        self.exchanges.take()
    }
}

fn next(order: &Cell<usize>) -> usize {
    let number = order.get();
    order.set(number + 1);
    number
}
