//! Idempotency keys: who may run a request, decided by the table service.
//!
//! A request with a key may run only once the row `claim/<team>/<digest>` is
//! created or taken over from a released claim, on the condition of its
//! version. All claims and ends that wait go into one transaction; one is in
//! flight at a time. Where a condition fails, the rows as they are come back:
//! they decide the claims they belong to, and the rest is sent again.
//!
//! After a lost answer the same transaction is sent again. If it had taken
//! effect, the conflict shows this life and this request in the row. A claim
//! that can't be settled before its request's deadline is answered as
//! unavailable, and the row is released by compare-and-set once the service
//! answers, whether or not the claim had taken effect. A claim is never taken
//! from its owner, so an owner that was paused and wakes is still the only one.

mod batch;
mod claim;
mod judge;
mod row;

#[cfg(test)]
mod tests;

use compact_str::{CompactString, ToCompactString};
use rustc_hash::FxHashMap;

use self::batch::{Batch, Write};
use self::claim::{Claim, Step};
use self::judge::judge;
pub use self::row::{
    ClaimAnswer, ClaimCall, ClaimEnd, ClaimTicket, MAX_STORED_BYTES, StoredAnswer, StoredChunk,
};
use self::row::{ClaimRow, ClaimState, fingerprint_text, request_name, row_key};
use super::context::Context;
use super::effect::{Component, Effect, Ticket};
use super::event::Event;
use super::time::Millis;
use crate::store::table::{Row, TableAnswer, TableCall, TableError};

/// Most claims that this life keeps in memory.
const MAX_CLAIMS: usize = 4096;

/// Time between two tries while the service does not answer.
const RETRY: Millis = Millis(200);

/// Failed calls in a row after which new claims are refused without a call.
const OUTAGE_FAILURES: u32 = 2;

/// The concern.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    // By the key of the row.
    rows: FxHashMap<CompactString, Claim>,
    keys: FxHashMap<ClaimTicket, CompactString>,
    in_flight: Option<Batch>,
    next_number: u64,
    retry_time: Option<Millis>,
    // Calls in a row that the service did not answer with success.
    failures: u32,
}

impl Claims {
    pub(crate) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::ClaimRequested(ticket, call) => self.claim(*ticket, call, context),
            Event::ClaimEnded(ticket, end) => self.ended(*ticket, end),
            Event::TableAnswered(ticket, result) if ticket.component == Component::Claims => {
                self.stored(ticket.number, result, context);
            }
            Event::Tick => self.expire(context),
            _ => return,
        }
        self.send(context);
    }

    fn claim(&mut self, ticket: ClaimTicket, call: &ClaimCall, context: &mut Context) {
        let key = row_key(call);
        if let Some(claim) = self.rows.get(&key) {
            let answer = claim.answer_again(&fingerprint_text(call));
            return context.effects.push(Effect::AnswerClaim(ticket, answer));
        }
        if self.rows.len() >= MAX_CLAIMS || self.is_out(context.now) {
            return context
                .effects
                .push(Effect::AnswerClaim(ticket, ClaimAnswer::Unavailable));
        }
        self.keys.insert(ticket, key.clone());
        let claim = Claim {
            ticket,
            request: request_name(call),
            fingerprint: fingerprint_text(call),
            deadline: context.now + call.time_left,
            version: 0,
            doubtful: false,
            step: Step::Wanted,
        };
        self.rows.insert(key, claim);
    }

    // While the service is out, one claim at a time tries whether it is back.
    fn is_out(&self, now: Millis) -> bool {
        let resting = self.retry_time.is_some_and(|time| now < time);
        self.failures >= OUTAGE_FAILURES && (resting || self.in_flight.is_some())
    }

    fn ended(&mut self, ticket: ClaimTicket, end: &ClaimEnd) {
        let Some(key) = self.keys.remove(&ticket) else {
            return;
        };
        let Some(claim) = self.rows.get_mut(&key) else {
            return;
        };
        claim.step = Step::Ended(match end {
            ClaimEnd::NotRun => ClaimState::Released,
            ClaimEnd::Finished(answer) => ClaimState::Finished {
                answer: answer
                    .clone()
                    .filter(|answer| answer.len() <= MAX_STORED_BYTES),
            },
            ClaimEnd::Unknown => ClaimState::Unknown,
        });
    }

    // Gives up claims that can't be settled in time; they are released later.
    fn expire(&mut self, context: &mut Context) {
        for claim in self.rows.values_mut() {
            if matches!(claim.step, Step::Wanted) && claim.deadline <= context.now {
                self.keys.remove(&claim.ticket);
                claim.give_up(context);
            }
        }
    }

    fn send(&mut self, context: &mut Context) {
        if self.in_flight.is_some() || self.retry_time.is_some_and(|time| context.now < time) {
            return;
        }
        let owner = context.identity.node.to_compact_string();
        let mut due: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, claim)| claim.is_due())
            .collect();
        due.sort_unstable_by_key(|(_, claim)| claim.ticket);
        let writes = due
            .into_iter()
            .filter_map(|(key, claim)| claim.write(key, &owner));
        let batch = Batch::collect(self.next_number, writes);
        let Some(batch) = batch else { return };
        self.next_number += 1;
        let ticket = Ticket {
            component: Component::Claims,
            number: batch.number,
        };
        let call = TableCall::Commit(batch.transaction());
        context.effects.push(Effect::CallTable(ticket, call));
        self.in_flight = Some(batch);
    }

    fn stored(
        &mut self,
        number: u64,
        result: &Result<TableAnswer, TableError>,
        context: &mut Context,
    ) {
        let Some(batch) = self.in_flight.take_if(|batch| batch.number == number) else {
            return;
        };
        match result {
            Ok(_) => self.committed(batch, context),
            Err(TableError::Conflict { rows }) => self.conflicted(&batch, rows, context),
            Err(TableError::Lost { .. }) => {
                self.wait(context);
                self.doubt(&batch);
                self.refuse_unsent(context);
            }
            Err(TableError::Unavailable { .. } | TableError::Invalid { .. }) => {
                self.wait(context);
                self.refuse(&batch, context);
                self.refuse_unsent(context);
            }
        }
    }

    fn committed(&mut self, batch: Batch, context: &mut Context) {
        self.answered();
        for write in batch.writes {
            self.written(&write, write.version + 1, context);
        }
    }

    // The row has the version `version` and holds what was written.
    fn written(&mut self, write: &Write, version: u64, context: &mut Context) {
        let Some(claim) = self.rows.get_mut(&write.key) else {
            return;
        };
        claim.version = version;
        match (&claim.step, &write.row.state) {
            (Step::Wanted, ClaimState::Running) => {
                claim.step = Step::Held;
                let ticket = claim.ticket;
                context
                    .effects
                    .push(Effect::AnswerClaim(ticket, ClaimAnswer::Run));
            }
            (Step::Ended(state), written) if state == written => {
                self.rows.remove(&write.key);
            }
            _ => {}
        }
    }

    fn conflicted(&mut self, batch: &Batch, rows: &[Row], context: &mut Context) {
        self.answered();
        let found: FxHashMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
        for write in &batch.writes {
            if let Some(row) = found.get(write.key.as_str()) {
                self.found(write, row, context);
            }
        }
    }

    // Judges a claim by its row, which is not as the write expected.
    fn found(&mut self, write: &Write, row: &Row, context: &mut Context) {
        let Ok(held) = serde_json::from_str::<ClaimRow>(row.value.get()) else {
            tracing::error!(name: "claim.unreadable", key = %row.key);
            return self.settle(&write.key, ClaimAnswer::UnknownOutcome, context);
        };
        if held == write.row {
            return self.written(write, row.version, context);
        }
        let ours = held.owner == write.row.owner
            && held.request == write.row.request
            && held.state == ClaimState::Running;
        if ours || held.state == ClaimState::Released {
            // Our own claim before its end, or a free key: write over it.
            if let Some(claim) = self.rows.get_mut(&write.key) {
                claim.version = row.version;
            }
            return;
        }
        let answer = judge(&held, &write.row.fingerprint, context);
        self.settle(&write.key, answer, context);
    }

    // Another's row decides the claim; nothing of ours is to be written.
    fn settle(&mut self, key: &CompactString, answer: ClaimAnswer, context: &mut Context) {
        let Some(claim) = self.rows.remove(key) else {
            return;
        };
        self.keys.remove(&claim.ticket);
        if matches!(claim.step, Step::Wanted) {
            context
                .effects
                .push(Effect::AnswerClaim(claim.ticket, answer));
        }
    }

    // The service did not act: claims that never were sent before are refused
    // at once; what may have taken effect earlier is released later.
    fn refuse(&mut self, batch: &Batch, context: &mut Context) {
        for write in &batch.writes {
            let Some(claim) = self.rows.get_mut(&write.key) else {
                continue;
            };
            if !matches!(claim.step, Step::Wanted) {
                continue;
            }
            self.keys.remove(&claim.ticket);
            claim.give_up(context);
            if !claim.doubtful {
                self.rows.remove(&write.key);
            }
        }
    }

    // Claims that wait for their first call while the service is out.
    fn refuse_unsent(&mut self, context: &mut Context) {
        if self.failures < OUTAGE_FAILURES {
            return;
        }
        let keys = &mut self.keys;
        self.rows.retain(|_, claim| {
            let unsent = matches!(claim.step, Step::Wanted) && !claim.doubtful;
            if unsent {
                keys.remove(&claim.ticket);
                claim.give_up(context);
            }
            !unsent
        });
    }

    // The writes may have taken effect.
    fn doubt(&mut self, batch: &Batch) {
        for write in &batch.writes {
            if let Some(claim) = self.rows.get_mut(&write.key) {
                claim.doubtful = true;
            }
        }
    }

    fn answered(&mut self) {
        self.retry_time = None;
        self.failures = 0;
    }

    fn wait(&mut self, context: &Context) {
        self.retry_time = Some(context.now + RETRY);
        self.failures = self.failures.saturating_add(1);
    }
}
