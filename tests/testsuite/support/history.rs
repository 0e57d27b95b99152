//! Histories of concurrent runs and their specifications.

use std::cell::RefCell;
use std::rc::Rc;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// Records calls and responses in the order in which the test saw them.
#[derive(Debug, Clone)]
pub(crate) struct Recorder<T> {
    actions: Rc<RefCell<Vec<ProcessAction<T>>>>,
}

/// An action and the process that took it, as the checker wants them.
type ProcessAction<T> = (usize, Action<T>);

/// An operation with the numbers of its call and its response in one order.
#[derive(Debug, Clone)]
pub(crate) struct Span<T> {
    pub(crate) called: usize,
    pub(crate) answered: usize,
    pub(crate) operation: T,
}

/// True where concurrent operations could have happened one by one as `S` allows.
pub(crate) fn is_linearizable<S>(spans: &[Span<S::Operation>]) -> bool
where
    S: Specification,
{
    let mut actions = Vec::new();
    for (process, span) in spans.iter().enumerate() {
        actions.push((span.called, process, Action::Call(span.operation.clone())));
        actions.push((
            span.answered,
            process,
            Action::Response(span.operation.clone()),
        ));
    }
    actions.sort_by_key(|(number, _, _)| *number);
    let history = actions
        .into_iter()
        .map(|(_, process, action)| (process, action))
        .collect();
    WGLChecker::<S>::is_linearizable(History::from_actions(history))
}

impl<T: Clone + std::fmt::Debug> Recorder<T> {
    pub(crate) fn new() -> Self {
        Self {
            actions: Rc::new(RefCell::new(Vec::new())),
        }
    }

    pub(crate) fn call(&self, process: usize, operation: T) {
        self.actions
            .borrow_mut()
            .push((process, Action::Call(operation)));
    }

    pub(crate) fn response(&self, process: usize, operation: T) {
        self.actions
            .borrow_mut()
            .push((process, Action::Response(operation)));
    }

    /// True where the history is linearizable.
    pub(crate) fn is_linearizable<S: Specification<Operation = T>>(&self) -> bool {
        let history = History::from_actions(self.actions.borrow().clone());
        WGLChecker::<S>::is_linearizable(history)
    }
}

/// An operation on a register written by compare-and-set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CasOp {
    /// A write that was accepted when the value was `expected`.
    Accepted { expected: u64, value: u64 },
    /// A write that was refused, since the value was not `expected`.
    Conflict { expected: u64 },
    /// A write that was said not to have taken effect.
    Refused,
    /// A write whose outcome the caller was not told.
    Unknown { expected: u64, value: u64 },
    /// A read of the value.
    Read { value: u64 },
}

/// A register that each write takes from one value to another; no value is
/// written twice.
#[derive(Debug)]
pub(crate) struct CasSpec;

impl Specification for CasSpec {
    type State = u64;
    type Operation = CasOp;

    fn init() -> u64 {
        0
    }

    fn apply(op: &CasOp, state: &u64) -> (bool, u64) {
        let held = state;
        match *op {
            CasOp::Accepted { expected, value } => (*held == expected, value),
            CasOp::Conflict { expected } => (*held != expected, *held),
            CasOp::Unknown { expected, value } if *held == expected => (true, value),
            CasOp::Refused | CasOp::Unknown { .. } => (true, *held),
            CasOp::Read { value } => (*held == value, *held),
        }
    }
}

impl Recorder<CasOp> {
    /// Number of writes that were accepted.
    pub(crate) fn accepted(&self) -> usize {
        let actions = self.actions.borrow();
        let accepted =
            |action: &Action<CasOp>| matches!(action, Action::Response(CasOp::Accepted { .. }));
        actions
            .iter()
            .filter(|(_, action)| accepted(action))
            .count()
    }
}
