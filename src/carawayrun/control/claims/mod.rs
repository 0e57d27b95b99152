//! Claims of idempotency keys, stored in the table service.
//!
//! A request with a key may run only after its agent has written the row
//! `claim/<team>/<digest>`, either as a new row or over a released claim, by
//! compare-and-set on the row's version. All pending claims and ends of claims
//! go into one transaction, and one transaction is in flight at a time. If a
//! condition fails, the service returns the current rows. They decide the
//! claims that they belong to; the other writes are sent again.
//!
//! After a lost answer the same transaction is sent again. If the first one had
//! taken effect, the conflict shows this incarnation and this request in the
//! row. A claim that has no result by its request's deadline is answered as
//! unavailable. Once the service answers, its row is released by
//! compare-and-set, whether or not the claim had taken effect. A claim is never
//! taken from its owner, so a paused owner that resumes is still the only one.

mod batch;
mod claim;
mod conflict;
mod row;

#[cfg(test)]
mod tests;

use compact_str::{CompactString, ToCompactString};
use rustc_hash::FxHashMap;

use self::batch::{Batch, RowWrite};
use self::claim::{Claim, ClaimStage};
use self::conflict::answer_conflict;
pub use self::row::{
    ClaimAnswer, ClaimEnd, ClaimRequest, ClaimTicket, MAX_STORED_ANSWER_BYTES, StoredAnswer,
    StoredChunk,
};
use self::row::{ClaimRow, ClaimState, fingerprint_text, request_name, row_key};
use super::context::Context;
use super::effect::{Component, Effect, Ticket};
use super::event::Event;
use super::time::Millis;
use crate::store::table::{Row, TableAnswer, TableCall, TableError};

/// Most claims that are kept in memory.
const MAX_CLAIMS: usize = 4096;

/// Time from the answer of a failed call (lost, unavailable or invalid) to the
/// next call.
const RETRY_DELAY: Millis = Millis(200);

/// Consecutive failed calls after which new claims are refused without a call.
const OUTAGE_FAILURES: u32 = 2;

/// Claims of one agent, with the write that is in flight.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    // Claims by the key of their row.
    by_key: FxHashMap<CompactString, Claim>,
    tickets: FxHashMap<ClaimTicket, CompactString>,
    in_flight: Option<Batch>,
    next_batch: u64,
    retry_time: Option<Millis>,
    // Consecutive calls without a usable answer from the service.
    failures: u32,
}

impl Claims {
    pub(crate) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::ClaimRequested(ticket, call) => self.start_claim(*ticket, call, context),
            Event::ClaimEnded(ticket, end) => self.record_end(*ticket, end),
            Event::TableAnswered(ticket, result) if ticket.component == Component::Claims => {
                self.handle_table_answer(ticket.number, result, context);
            }
            Event::Tick => self.expire_pending(context),
            _ => return,
        }
        self.send_batch(context);
    }

    fn start_claim(&mut self, ticket: ClaimTicket, call: &ClaimRequest, context: &mut Context) {
        let key = row_key(call);
        if let Some(claim) = self.by_key.get(&key) {
            let answer = claim.answer_duplicate(&fingerprint_text(call));
            return context.effects.push(Effect::AnswerClaim(ticket, answer));
        }
        if self.by_key.len() >= MAX_CLAIMS || self.must_refuse_claims(context.now) {
            return context
                .effects
                .push(Effect::AnswerClaim(ticket, ClaimAnswer::Unavailable));
        }
        self.tickets.insert(ticket, key.clone());
        let claim = Claim {
            ticket,
            request: request_name(call),
            fingerprint: fingerprint_text(call),
            deadline: context.now + call.time_left,
            version: 0,
            maybe_written: false,
            stage: ClaimStage::Pending,
        };
        self.by_key.insert(key, claim);
    }

    // True if new claims are refused without a call, because the service is
    // out. False once the next probe is due: during an outage only one call at
    // a time probes the service.
    fn must_refuse_claims(&self, now: Millis) -> bool {
        let is_waiting = self.retry_time.is_some_and(|time| now < time);
        self.failures >= OUTAGE_FAILURES && (is_waiting || self.in_flight.is_some())
    }

    fn record_end(&mut self, ticket: ClaimTicket, end: &ClaimEnd) {
        let Some(key) = self.tickets.remove(&ticket) else {
            return;
        };
        let Some(claim) = self.by_key.get_mut(&key) else {
            return;
        };
        claim.stage = ClaimStage::Ended(match end {
            ClaimEnd::NotRun => ClaimState::Released,
            ClaimEnd::Finished(answer) => ClaimState::Finished {
                answer: answer
                    .clone()
                    .filter(|answer| answer.len() <= MAX_STORED_ANSWER_BYTES),
            },
            ClaimEnd::Unknown => ClaimState::Unknown,
        });
    }

    // Refuses claims whose deadline has passed; their rows are released later.
    fn expire_pending(&mut self, context: &mut Context) {
        for claim in self.by_key.values_mut() {
            if matches!(claim.stage, ClaimStage::Pending) && claim.deadline <= context.now {
                self.tickets.remove(&claim.ticket);
                claim.refuse(context);
            }
        }
    }

    fn send_batch(&mut self, context: &mut Context) {
        if self.in_flight.is_some() || self.retry_time.is_some_and(|time| context.now < time) {
            return;
        }
        let owner = context.identity.node.to_compact_string();
        let mut due: Vec<_> = self
            .by_key
            .iter()
            .filter(|(_, claim)| claim.needs_write())
            .collect();
        due.sort_unstable_by_key(|(_, claim)| claim.ticket);
        let writes = due
            .into_iter()
            .filter_map(|(key, claim)| claim.next_write(key, &owner));
        let batch = Batch::collect(self.next_batch, writes);
        let Some(batch) = batch else { return };
        self.next_batch += 1;
        let ticket = Ticket {
            component: Component::Claims,
            number: batch.number,
        };
        let call = TableCall::Commit(batch.transaction());
        context.effects.push(Effect::CallTable(ticket, call));
        self.in_flight = Some(batch);
    }

    fn handle_table_answer(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        let Some(batch) = self.in_flight.take_if(|batch| batch.number == number) else {
            return;
        };
        match result {
            Ok(_) => self.record_committed(batch, context),
            Err(TableError::Conflict { rows }) => self.resolve_conflicts(&batch, rows, context),
            Err(TableError::Lost { .. }) => {
                self.schedule_retry(context);
                self.mark_maybe_written(&batch);
                self.refuse_unsent(context);
            }
            Err(TableError::Unavailable { .. } | TableError::Invalid { .. }) => {
                self.schedule_retry(context);
                self.refuse_batch(&batch, context);
                self.refuse_unsent(context);
            }
        }
    }

    fn record_committed(&mut self, batch: Batch, context: &mut Context) {
        self.reset_failures();
        for write in batch.writes {
            self.record_written(&write, write.version + 1, context);
        }
    }

    // Records that the row holds `write.row` at `version`.
    fn record_written(&mut self, write: &RowWrite, version: u64, context: &mut Context) {
        let Some(claim) = self.by_key.get_mut(&write.key) else {
            return;
        };
        claim.version = version;
        match (&claim.stage, &write.row.state) {
            (ClaimStage::Pending, ClaimState::Running) => {
                claim.stage = ClaimStage::Granted;
                let ticket = claim.ticket;
                context
                    .effects
                    .push(Effect::AnswerClaim(ticket, ClaimAnswer::Run));
            }
            (ClaimStage::Ended(state), written) if state == written => {
                self.by_key.remove(&write.key);
            }
            _ => {}
        }
    }

    fn resolve_conflicts(&mut self, batch: &Batch, rows: &[Row], context: &mut Context) {
        self.reset_failures();
        let found: FxHashMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
        for write in &batch.writes {
            if let Some(row) = found.get(write.key.as_str()) {
                self.resolve_conflict(write, row, context);
            }
        }
    }

    // Resolves a claim whose row did not have the expected version.
    fn resolve_conflict(&mut self, write: &RowWrite, row: &Row, context: &mut Context) {
        let Ok(existing) = serde_json::from_str::<ClaimRow>(row.value.get()) else {
            tracing::error!(name: "claim.unreadable", key = %row.key);
            return self.resolve(&write.key, ClaimAnswer::UnknownOutcome, context);
        };
        if existing == write.row {
            return self.record_written(write, row.version, context);
        }
        let is_ours = existing.owner == write.row.owner
            && existing.request == write.row.request
            && existing.state == ClaimState::Running;
        if is_ours || existing.state == ClaimState::Released {
            // The row is this request's own claim or a released one, so the next
            // batch overwrites it.
            if let Some(claim) = self.by_key.get_mut(&write.key) {
                claim.version = row.version;
            }
            return;
        }
        let answer = answer_conflict(&existing, &write.row.fingerprint, context);
        self.resolve(&write.key, answer, context);
    }

    // Answers a claim that another request's row decides, without a write.
    fn resolve(&mut self, key: &CompactString, answer: ClaimAnswer, context: &mut Context) {
        let Some(claim) = self.by_key.remove(key) else {
            return;
        };
        self.tickets.remove(&claim.ticket);
        if matches!(claim.stage, ClaimStage::Pending) {
            context
                .effects
                .push(Effect::AnswerClaim(claim.ticket, answer));
        }
    }

    // Refuses the pending claims of a batch that did not take effect. Those that
    // an earlier, lost write may have stored are kept until they are released.
    fn refuse_batch(&mut self, batch: &Batch, context: &mut Context) {
        for write in &batch.writes {
            let Some(claim) = self.by_key.get_mut(&write.key) else {
                continue;
            };
            if !matches!(claim.stage, ClaimStage::Pending) {
                continue;
            }
            self.tickets.remove(&claim.ticket);
            claim.refuse(context);
            if !claim.maybe_written {
                self.by_key.remove(&write.key);
            }
        }
    }

    // Refuses claims that were never sent once the service counts as out.
    fn refuse_unsent(&mut self, context: &mut Context) {
        if self.failures < OUTAGE_FAILURES {
            return;
        }
        let tickets = &mut self.tickets;
        self.by_key.retain(|_, claim| {
            let unsent = matches!(claim.stage, ClaimStage::Pending) && !claim.maybe_written;
            if unsent {
                tickets.remove(&claim.ticket);
                claim.refuse(context);
            }
            !unsent
        });
    }

    // Marks the claims of a batch that may have taken effect.
    fn mark_maybe_written(&mut self, batch: &Batch) {
        for write in &batch.writes {
            if let Some(claim) = self.by_key.get_mut(&write.key) {
                claim.maybe_written = true;
            }
        }
    }

    fn reset_failures(&mut self) {
        self.retry_time = None;
        self.failures = 0;
    }

    fn schedule_retry(&mut self, context: &Context) {
        self.retry_time = Some(context.now + RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
    }
}
