//! Requests that wait for the answer about their idempotency key.

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

use super::handle::ClaimReply;
use crate::control::{ClaimAnswer, ClaimEnd, ClaimRequest, ClaimTicket, Event};

/// Ties the reducer's answers to the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct ClaimTickets {
    next: u64,
    waiting: FxHashMap<ClaimTicket, oneshot::Sender<ClaimReply>>,
}

impl ClaimTickets {
    /// Gives a request a ticket; the event is for the reducer.
    pub(super) fn issue(
        &mut self,
        call: Box<ClaimRequest>,
        answer: oneshot::Sender<ClaimReply>,
    ) -> Event {
        let ticket = ClaimTicket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, answer);
        Event::ClaimRequested(ticket, call)
    }

    /// Answers a request. Where it no longer waits, the event ends its claim.
    pub(super) fn answer(&mut self, ticket: ClaimTicket, answer: ClaimAnswer) -> Option<Event> {
        let waiting = self.waiting.remove(&ticket)?;
        let unclaimed = waiting.send(ClaimReply { ticket, answer }).err()?;
        let held = unclaimed.answer == ClaimAnswer::Run;
        held.then(|| Event::ClaimEnded(ticket, Box::new(ClaimEnd::NotRun)))
    }
}
