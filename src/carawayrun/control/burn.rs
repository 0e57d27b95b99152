//! Request counts for service-level objectives at a gateway.
//!
//! Each row in the table service holds all counts of one incarnation of a
//! gateway in one hour, in buckets of five minutes. Only that incarnation
//! writes the row, so a write may be repeated after a lost answer.

use std::collections::BTreeSet;

use serde_json::value::to_raw_value;

use super::context::{Context, Lifecycle};
use super::effect::{Component, Effect, Ticket};
use super::event::{Event, RequestOutcome};
use super::time::Millis;
use crate::report::{BurnSums, Cell, HOUR_MS, HourRow, Measure, Sample, burn_key, measures};
use crate::store::table::{Put, TableCall, Transaction};

/// Shortest time between two writes of counts.
const WRITE_INTERVAL: Millis = Millis(15_000);

/// Shortest time between two writes while the process drains.
const DRAIN_WRITE_INTERVAL: Millis = Millis(500);

/// Shortest time between two published views with new counts.
const PUBLISH_INTERVAL: Millis = Millis(2_000);

/// Hours for which written counts are kept in memory.
const MAX_WRITTEN_HOURS: u64 = 7;

/// Hours for which counts are kept while they can't be written.
const MAX_UNWRITTEN_HOURS: u64 = 48;

/// Counts of this gateway and the state of their writes.
#[derive(Debug, Default)]
pub(super) struct BurnCounts {
    sums: BurnSums,
    measures: Vec<Measure>,
    /// Generation of the configuration that `measures` come from.
    generation: u64,
    /// Hours with counts that are not in their row yet.
    unwritten: BTreeSet<u64>,
    in_flight: Option<PendingWrite>,
    /// Number of writes so far, which numbers the calls.
    writes: u64,
    last_write: Option<Millis>,
    last_publish: Option<Millis>,
    has_unpublished: bool,
}

/// A write of counts without an answer yet.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    hours: Vec<u64>,
}

impl BurnCounts {
    pub(super) fn handle(&mut self, event: &Event, context: &mut Context) {
        match event {
            Event::RequestEnded(outcome) => self.record_outcome(outcome, context),
            Event::Tick => self.tick(context),
            Event::TableAnswered(ticket, result) if ticket.component == Component::Burn => {
                self.finish_write(ticket.number, result.is_ok());
            }
            _ => {}
        }
    }

    /// The counts that are published in the view.
    pub(super) fn sums(&self) -> BurnSums {
        self.sums.clone()
    }

    fn record_outcome(&mut self, outcome: &RequestOutcome, context: &Context) {
        // Refusals caused by the client don't count against the service.
        if outcome.refused && !outcome.failed {
            return;
        }
        self.update_measures(context);
        let sample = Sample {
            team: &outcome.team,
            service: &outcome.service,
            task: &outcome.task,
            failed: outcome.failed,
            first_ms: outcome.first_ms,
            total_ms: outcome.total_ms,
        };
        for measure in &self.measures {
            let Some(good) = measure.evaluate(&sample) else {
                continue;
            };
            let cell = Cell {
                measure: measure.name.clone(),
                team: outcome.team.clone(),
                version: outcome.version.clone(),
            };
            let hour = self.sums.record(cell, wall_ms(context), good);
            self.unwritten.insert(hour);
            self.has_unpublished = true;
        }
    }

    fn update_measures(&mut self, context: &Context) {
        if self.generation != context.config.generation {
            self.generation = context.config.generation;
            self.measures = measures(&context.config);
        }
    }

    fn tick(&mut self, context: &mut Context) {
        if self.has_unpublished && is_due(self.last_publish, PUBLISH_INTERVAL, context.now) {
            self.has_unpublished = false;
            self.last_publish = Some(context.now);
            context.view_changed = true;
        }
        let interval = match context.lifecycle {
            Lifecycle::Stopping => DRAIN_WRITE_INTERVAL,
            Lifecycle::Running | Lifecycle::Superseded => WRITE_INTERVAL,
        };
        let can_write = self.in_flight.is_none() && !self.unwritten.is_empty();
        if can_write && is_due(self.last_write, interval, context.now) {
            self.write_counts(context);
        }
    }

    fn write_counts(&mut self, context: &mut Context) {
        self.drop_old_hours(wall_ms(context) / HOUR_MS);
        let hours: Vec<u64> = std::mem::take(&mut self.unwritten).into_iter().collect();
        let puts = hours
            .iter()
            .filter_map(|hour| self.hour_put(*hour, context));
        let transaction = Transaction {
            puts: puts.collect(),
            ..Transaction::default()
        };
        self.writes += 1;
        self.last_write = Some(context.now);
        let ticket = Ticket {
            component: Component::Burn,
            number: self.writes,
        };
        let call = TableCall::Commit(transaction);
        context.effects.push(Effect::CallTable(ticket, call));
        self.in_flight = Some(PendingWrite {
            number: self.writes,
            hours,
        });
    }

    fn hour_put(&self, hour: u64, context: &Context) -> Option<Put> {
        let row = HourRow::new(hour, self.sums.hour(hour)?);
        Some(Put {
            key: burn_key(hour, &context.identity.node),
            value: to_raw_value(&row).expect("counts can be written as JSON"),
        })
    }

    fn finish_write(&mut self, number: u64, succeeded: bool) {
        let Some(pending) = self.in_flight.take_if(|pending| pending.number == number) else {
            return;
        };
        if !succeeded {
            self.unwritten.extend(pending.hours);
        }
    }

    fn drop_old_hours(&mut self, now_hour: u64) {
        let oldest = now_hour.saturating_sub(MAX_UNWRITTEN_HOURS);
        self.unwritten.retain(|hour| *hour >= oldest);
        let unwritten = &self.unwritten;
        let oldest_written = now_hour.saturating_sub(MAX_WRITTEN_HOURS);
        self.sums
            .retain(|hour| hour >= oldest_written || unwritten.contains(&hour));
    }
}

/// Milliseconds since the Unix epoch: the wall-clock time of the process's start
/// plus the runtime's clock.
fn wall_ms(context: &Context) -> u64 {
    context.identity.node.incarnation / 1_000 + context.now.0
}

fn is_due(last: Option<Millis>, interval: Millis, now: Millis) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}
