//! Requests that wait for the answer to their claim of an idempotency key.

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

use super::handle::ClaimReply;
use crate::control::{ClaimAnswer, ClaimEnd, ClaimRequest, ClaimTicket, Event};

/// Maps tickets to the requests that wait for the reducer's answers.
#[derive(Debug, Default)]
pub(super) struct ClaimTickets {
    next: u64,
    waiting: FxHashMap<ClaimTicket, oneshot::Sender<ClaimReply>>,
}

impl ClaimTickets {
    /// Issues a ticket for a request and returns the event for the reducer.
    pub(super) fn issue(
        &mut self,
        request: Box<ClaimRequest>,
        answer: oneshot::Sender<ClaimReply>,
    ) -> Event {
        let ticket = ClaimTicket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, answer);
        Event::ClaimRequested(ticket, request)
    }

    /// Answers a request. If the request no longer waits, returns the event
    /// that ends its claim.
    pub(super) fn answer(&mut self, ticket: ClaimTicket, answer: ClaimAnswer) -> Option<Event> {
        let waiting = self.waiting.remove(&ticket)?;
        let undelivered = waiting.send(ClaimReply { ticket, answer }).err()?;
        let claimed = undelivered.answer == ClaimAnswer::Run;
        claimed.then(|| Event::ClaimEnded(ticket, Box::new(ClaimEnd::NotRun)))
    }
}
