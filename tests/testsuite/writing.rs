//! A write of the configuration takes effect at most once, and the writer
//! learns whether it did or that this is unknown, even if answers of the table
//! service are lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawayrun::ops::{NextAction, WriteError, WriteTransaction};
use carawayrun::resource::{
    Change, Config, ConfigWrite, Edit, EditError, HEAD_KEY, Kind, Origin, Resource, WriteId,
    change_key, parse_manifests,
};
use carawayrun::store::table::{ListCall, Row, TableAnswer, TableCall, TableError, Transaction};
use proptest::prelude::*;

/// Fault injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The service refuses the call without effect.
    Down,
    /// The call is lost before it reaches the service.
    LostBefore,
    /// The call takes effect but its answer is lost.
    LostAfter,
}

/// In-memory rows with the semantics of the table service.
#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<String, Row>,
}

impl Table {
    fn call(&mut self, call: TableCall, fault: Fault) -> Result<TableAnswer, TableError> {
        match fault {
            Fault::Down => {
                return Err(TableError::Unavailable {
                    message: "down".into(),
                });
            }
            Fault::LostBefore => {
                return Err(TableError::Lost {
                    message: "cut".into(),
                });
            }
            Fault::None | Fault::LostAfter => {}
        }
        let answer = match call {
            TableCall::Read(keys) => {
                let found = keys.iter().filter_map(|key| self.rows.get(key.as_str()));
                Ok(TableAnswer::Rows(found.cloned().collect()))
            }
            TableCall::List(list) => Ok(TableAnswer::Rows(self.list(&list))),
            TableCall::Commit(transaction) => self.commit(&transaction),
        };
        if fault == Fault::LostAfter {
            return Err(TableError::Lost {
                message: "cut".into(),
            });
        }
        answer
    }

    fn list(&self, list: &ListCall) -> Vec<Row> {
        let after = self.rows.iter().filter(|(key, _)| {
            key.starts_with(list.prefix.as_str()) && key.as_str() > list.after.as_str()
        });
        let rows = after.map(|(_, row)| row.clone());
        rows.take(list.limit as usize).collect()
    }

    fn commit(&mut self, transaction: &Transaction) -> Result<TableAnswer, TableError> {
        let version = |key: &str| self.rows.get(key).map_or(0, |row| row.version);
        let failed = transaction
            .conditions
            .iter()
            .any(|condition| version(&condition.key) != condition.version);
        if failed {
            return Err(TableError::Conflict { rows: Vec::new() });
        }
        for put in &transaction.puts {
            let row = Row {
                key: put.key.clone(),
                version: version_of(&self.rows, &put.key) + 1,
                value: put.value.clone(),
            };
            self.rows.insert(put.key.to_string(), row);
        }
        for key in &transaction.deletes {
            self.rows.remove(key.as_str());
        }
        Ok(TableAnswer::Committed)
    }

    fn changes(&self) -> Vec<Change> {
        let rows = self
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with("config/change/"));
        rows.map(|(_, row)| serde_json::from_str(row.value.get()).expect("a valid change"))
            .collect()
    }
}

fn version_of(rows: &BTreeMap<String, Row>, key: &str) -> u64 {
    rows.get(key).map_or(0, |row| row.version)
}

fn service(name: &str, latency_ms: u64, resource_version: u64) -> Resource {
    let text = format!(
        "{{apiVersion: carawayrun/v1, kind: Service, metadata: {{name: {name}, resourceVersion: {resource_version}}}, \
         spec: {{backend: engine, tasks: [{{name: plan, class: normal, quality: 0.5, latencyMs: {latency_ms}}}]}}}}"
    );
    parse_manifests(&text).expect("a valid resource").remove(0)
}

fn put(name: &str, latency_ms: u64, resource_version: u64) -> Vec<Edit> {
    vec![Edit::Put(Box::new(service(
        name,
        latency_ms,
        resource_version,
    )))]
}

fn origin(id: &str) -> Origin {
    Origin {
        write_id: WriteId(id.into()),
        author: "ana".into(),
        reason: "test".into(),
        time: "2026-12-03T22:24:00Z".into(),
    }
}

fn transaction(id: &str, edits: Vec<Edit>) -> WriteTransaction {
    WriteTransaction::new(Arc::new(Config::empty()), edits, origin(id), false)
}

/// Runs a transaction to its outcome; each fault applies to one call.
fn drive(transaction: &mut WriteTransaction, table: &mut Table, faults: &[Fault]) -> NextAction {
    let mut faults = faults.iter().copied();
    loop {
        match transaction.next_action() {
            NextAction::Call { call, .. } => {
                let fault = faults.next().unwrap_or(Fault::None);
                transaction.handle_answer(table.call(call, fault));
            }
            end => return end,
        }
    }
}

fn generation(end: &NextAction) -> Option<u64> {
    match end {
        NextAction::Done(change) => Some(change.generation),
        _ => None,
    }
}

#[test]
fn first_write_creates_generation_one() {
    let mut table = Table::default();
    let end = drive(&mut transaction("a", put("scene", 1, 0)), &mut table, &[]);
    assert_eq!(generation(&end), Some(1));
    assert_eq!(table.rows[HEAD_KEY].value.get(), r#"{"generation":1}"#);
    assert_eq!(table.rows[HEAD_KEY].version, 1);
    let stored: Resource =
        serde_json::from_str(table.rows["config/resource/Service/scene"].value.get())
            .expect("a valid resource");
    assert_eq!(stored.metadata.resource_version, 1);
    assert!(table.rows.contains_key(change_key(1).as_str()));
}

#[test]
fn write_of_an_equal_resource_is_unchanged() {
    let mut table = Table::default();
    drive(&mut transaction("a", put("scene", 1, 0)), &mut table, &[]);
    let end = drive(&mut transaction("b", put("scene", 1, 0)), &mut table, &[]);
    assert!(matches!(end, NextAction::Unchanged(1)), "{end:?}");
}

#[test]
fn write_with_lost_answer_is_found_by_its_id() {
    let mut table = Table::default();
    let faults = [Fault::None, Fault::LostAfter];
    let end = drive(
        &mut transaction("a", put("scene", 1, 0)),
        &mut table,
        &faults,
    );
    assert_eq!(generation(&end), Some(1));
    assert_eq!(table.changes().len(), 1);
}

#[test]
fn lost_write_is_sent_again() {
    let mut table = Table::default();
    let faults = [Fault::None, Fault::LostBefore, Fault::LostBefore];
    let end = drive(
        &mut transaction("a", put("scene", 1, 0)),
        &mut table,
        &faults,
    );
    assert_eq!(generation(&end), Some(1));
    assert_eq!(table.changes().len(), 1);
}

#[test]
fn write_during_store_outage_fails_without_effect() {
    let mut table = Table::default();
    let end = drive(
        &mut transaction("a", put("scene", 1, 0)),
        &mut table,
        &[Fault::Down; 20],
    );
    assert!(
        matches!(end, NextAction::Failed(WriteError::Unavailable { .. })),
        "{end:?}"
    );
    assert!(table.rows.is_empty());
}

#[test]
fn lost_commit_before_store_outage_has_unknown_outcome() {
    let mut table = Table::default();
    let mut faults = vec![Fault::None, Fault::LostAfter];
    faults.extend([Fault::Down; 20]);
    let end = drive(
        &mut transaction("a", put("scene", 1, 0)),
        &mut table,
        &faults,
    );
    assert!(
        matches!(&end, NextAction::Failed(WriteError::Unknown { write_id, .. }) if write_id == "a"),
        "{end:?}"
    );
}

#[test]
fn concurrent_write_of_another_resource_succeeds() {
    let mut table = Table::default();
    let mut slow = transaction("slow", put("scene", 1, 0));
    let NextAction::Call { call, .. } = slow.next_action() else {
        panic!("the transaction catches up first");
    };
    slow.handle_answer(table.call(call, Fault::None));
    drive(
        &mut transaction("fast", put("advisor", 1, 0)),
        &mut table,
        &[],
    );
    let end = drive(&mut slow, &mut table, &[]);
    assert_eq!(generation(&end), Some(2));
}

#[test]
fn concurrent_write_of_the_same_resource_conflicts() {
    let mut table = Table::default();
    drive(
        &mut transaction("first", put("scene", 1, 0)),
        &mut table,
        &[],
    );
    let mut slow = transaction("slow", put("scene", 2, 1));
    let NextAction::Call { call, .. } = slow.next_action() else {
        panic!("the transaction catches up first");
    };
    slow.handle_answer(table.call(call, Fault::None));
    drive(
        &mut transaction("fast", put("scene", 3, 1)),
        &mut table,
        &[],
    );
    let end = drive(&mut slow, &mut table, &[]);
    let expected = EditError::Conflict {
        kind: Kind::Service,
        name: "scene".into(),
        expected: 1,
        current: 2,
    };
    let NextAction::Failed(WriteError::Refused { error }) = end else {
        panic!("{end:?}");
    };
    assert_eq!(error, expected);
    assert_eq!(
        error.to_string(),
        "Service/scene is at resource version 2, not 1; read it again and repeat the edit on that"
    );
}

#[test]
fn preconditions_use_the_newest_configuration_on_a_lagging_gateway() {
    let mut table = Table::default();
    drive(&mut transaction("a", put("scene", 1, 0)), &mut table, &[]);
    drive(&mut transaction("b", put("scene", 2, 1)), &mut table, &[]);
    // The transaction starts from an empty configuration.
    let end = drive(&mut transaction("c", put("scene", 3, 2)), &mut table, &[]);
    assert_eq!(generation(&end), Some(3));
}

#[test]
fn dry_run_writes_nothing() {
    let mut table = Table::default();
    let config = Arc::new(Config::empty());
    let mut dry = WriteTransaction::new(config, put("scene", 1, 0), origin("a"), true);
    let end = drive(&mut dry, &mut table, &[]);
    assert_eq!(generation(&end), Some(1));
    assert!(table.rows.is_empty());
}

#[test]
fn delete_of_a_referenced_resource_is_refused() {
    let manifest = r"
apiVersion: carawayrun/v1
kind: Service
metadata: {name: scene}
spec: {backend: engine, tasks: [{name: plan, class: normal, quality: 0.5, latencyMs: 1}]}
---
apiVersion: carawayrun/v1
kind: Version
metadata: {name: scene-1}
spec: {model: scene-large, service: scene, price: {prompt: 1, completion: 1}}
";
    let config = Config::empty();
    let resources = parse_manifests(manifest).expect("the manifest parses");
    let config = config
        .with_resources(1, &resources)
        .expect("the configuration is valid");
    let edit = Edit::Delete {
        kind: Kind::Service,
        name: "scene".into(),
        resource_version: 0,
    };
    let error =
        ConfigWrite::build(&config, &[edit], &origin("a")).expect_err("the service is referenced");
    assert_eq!(
        error.to_string(),
        "Version/scene-1: spec.service: there is no Service `scene`; create it in the same apply, or take the name out"
    );
}

#[test]
fn existing_problem_does_not_block_other_changes() {
    // A stored resource may fail a check that a later release made stricter;
    // stored changes are applied without checks.
    let broken = service("Broken", 1, 0);
    let first = ConfigWrite::build(&Config::empty(), &put("scene", 1, 0), &origin("a"))
        .expect("valid")
        .expect("a valid change");
    let mut change = first.change;
    change.items[0].after = Some(broken);
    let config = Config::empty().with_change(&change);
    assert!(!config.problems().is_empty());
    let next = ConfigWrite::build(&config, &put("advisor", 1, 0), &origin("b"));
    assert!(next.is_ok_and(|write| write.is_some()));
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Down),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::LostAfter),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Three writers race with any order of calls and any faults.
    #[test]
    fn racing_writers_learn_their_outcome(turns in prop::collection::vec((0..3_usize, fault()), 0..60)) {
        let mut table = Table::default();
        let mut writers: Vec<WriteTransaction> = (0..3)
            .map(|n| transaction(&format!("w{n}"), put("scene", n + 1, 0)))
            .collect();
        for (writer, fault) in turns {
            if let NextAction::Call { call, .. } = writers[writer].next_action() {
                let answer = table.call(call, fault);
                writers[writer].handle_answer(answer);
            }
        }
        for (n, writer) in writers.iter_mut().enumerate() {
            let end = drive(writer, &mut table, &[]);
            let id = WriteId(format!("w{n}").into());
            let found = table.changes().iter().filter(|change| change.write_id == id).count();
            match end {
                NextAction::Done(change) => {
                    prop_assert_eq!(found, 1);
                    prop_assert_eq!(&change.write_id, &id);
                }
                NextAction::Failed(WriteError::Unavailable { .. }) => prop_assert_eq!(found, 0),
                NextAction::Failed(WriteError::Unknown { .. }) => prop_assert!(found <= 1),
                other => prop_assert!(false, "{:?}", other),
            }
        }
        let generations: Vec<u64> = table.changes().iter().map(|change| change.generation).collect();
        let expected: Vec<u64> = (1..=generations.len() as u64).collect();
        prop_assert_eq!(generations, expected);
    }
}
