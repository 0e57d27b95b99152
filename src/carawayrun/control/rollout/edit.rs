//! Configuration changes that roll-outs cause.

use compact_str::{CompactString, ToCompactString, format_compact};
use jiff::Timestamp;
use rand::RngCore;

use super::row::SavedState;
use crate::control::context::Context;
use crate::control::view::RolloutPhase;
use crate::resource::{Config, ConfigWrite, Edit, Kind, Origin, Phase, Spec, WriteId};
use crate::store::table::Transaction;

/// Returns the edits that `target` requires, and the state after them.
pub(super) fn edits(mut target: SavedState, context: &Context) -> (Vec<Edit>, SavedState) {
    let config = &context.config;
    let bad = std::mem::take(&mut target.bad);
    let withdrawals = bad
        .iter()
        .filter_map(|name| phase_edit(name, Phase::Withdrawn, config));
    let complete = target
        .rollouts
        .values()
        .filter(|entry| entry.phase == RolloutPhase::Complete)
        .filter(|entry| is_candidate(&entry.to, config))
        .filter_map(|entry| phase_edit(&entry.to, Phase::Active, config));
    (withdrawals.chain(complete).collect(), target)
}

/// Builds the transaction for `edits`, with the generation that it creates.
pub(super) fn transaction(edits: &[Edit], context: &mut Context) -> (Transaction, Option<u64>) {
    let origin = origin(context);
    match ConfigWrite::build(&context.config, edits, &origin) {
        Ok(Some(write)) => (write.transaction, Some(write.change.generation)),
        Ok(None) => (Transaction::default(), Some(context.config.generation)),
        // The edits are computed again on the next configuration.
        Err(_) => (Transaction::default(), None),
    }
}

fn is_candidate(name: &CompactString, config: &Config) -> bool {
    let version = config.versions.by_name(name);
    version.is_some_and(|version| version.spec.phase == Phase::Candidate)
}

fn phase_edit(name: &CompactString, phase: Phase, config: &Config) -> Option<Edit> {
    let mut resource = config.resource(Kind::Version, name)?.clone();
    let Spec::Version(version) = &mut resource.spec else {
        return None;
    };
    version.phase = phase;
    Some(Edit::Put(Box::new(resource)))
}

fn origin(context: &mut Context) -> Origin {
    let number = context.rng.next_u64();
    let node = &context.identity.node;
    let micros = node.incarnation.saturating_add(context.now.0 * 1_000);
    let time = Timestamp::from_microsecond(micros as i64).unwrap_or_default();
    Origin {
        write_id: WriteId(format_compact!("{node}-{number:016x}")),
        author: format_compact!("rollouts at {node}"),
        reason: "judged on the outcomes of all gateways; see the events rollout.withdrawn and \
                 version.drifted"
            .into(),
        time: time.to_compact_string(),
    }
}
