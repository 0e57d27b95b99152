//! Each request is counted once in the table service for objectives.

use super::world::{World, change};
use crate::control::{Event, Millis, RequestOutcome};
use crate::peer::{NodeId, RequestId};
use crate::report::{BURN_PREFIX, Count, HourRow};
use crate::resource::{ChangeItem, Kind, Resource, parse_manifests};

const RESOURCES: &str = "
{apiVersion: carawayrun/v1, kind: Service, metadata: {name: scene}, spec: {backend: engine, tasks: []}}
---
apiVersion: carawayrun/v1
kind: Objective
metadata: {name: fast}
spec: {service: scene, indicator: firstByte, thresholdMs: 100, target: 0.9, windowDays: 1}
";

fn world_with_objective() -> World {
    let mut world = World::new(1, 1);
    let mut resources = parse_manifests(RESOURCES).unwrap();
    let objective = resources.pop().unwrap();
    let mut first = change(1, resources.pop().unwrap());
    first.items.push(objective_item(objective));
    world.post(0, Event::ChangeAccepted(Box::new(first)));
    assert_eq!(world.generation(0), 1);
    world
}

fn objective_item(resource: Resource) -> ChangeItem {
    ChangeItem {
        action: crate::resource::ChangeAction::Put,
        kind: Kind::Objective,
        name: resource.metadata.name.clone(),
        before: None,
        after: Some(resource),
    }
}

fn outcome_event(first_ms: u64, refused: bool) -> Event {
    Event::RequestEnded(Box::new(RequestOutcome {
        id: RequestId {
            gateway: NodeId {
                name: "n0".into(),
                incarnation: 1,
            },
            sequence: 1,
        },
        team: "shops".into(),
        service: "scene".into(),
        task: "plan".into(),
        version: "scene-1".into(),
        compared: false,
        failed: false,
        refused,
        first_ms,
        total_ms: first_ms,
        completion_tokens: 1,
    }))
}

fn stored_count(world: &World) -> Count {
    let rows = world
        .table
        .rows
        .iter()
        .filter(|(key, _)| key.starts_with(BURN_PREFIX));
    let mut sum = Count::default();
    for (_, row) in rows {
        let row: HourRow = serde_json::from_str(row.value.get()).unwrap();
        let buckets = row.cells.iter().flat_map(|cell| &cell.buckets);
        buckets.for_each(|bucket| sum.add(bucket.count));
    }
    sum
}

#[test]
fn counts_are_written_without_refusals_caused_by_callers() {
    let mut world = world_with_objective();
    world.post(0, outcome_event(50, false));
    world.post(0, outcome_event(500, false));
    world.post(0, outcome_event(1, true));
    world.run_until("the counts are stored", |world| {
        stored_count(world) == Count { good: 1, total: 2 }
    });
}

#[test]
fn requests_are_counted_once_when_answers_of_the_table_service_are_lost() {
    let mut world = world_with_objective();
    world.table.lose_answers = 3;
    for _ in 0..5 {
        world.post(0, outcome_event(50, false));
        world.run(Millis(20_000));
    }
    world.run_until("the counts are stored", |world| {
        stored_count(world) == Count { good: 5, total: 5 }
    });
}

#[test]
fn counts_made_during_a_store_outage_are_written_after_it() {
    let mut world = world_with_objective();
    world.table.down = true;
    for _ in 0..3 {
        world.post(0, outcome_event(50, false));
        // Advances an hour, so that each count goes into another row.
        world.run(Millis(3_600_000));
    }
    assert_eq!(stored_count(&world), Count::default());
    world.table.down = false;
    world.run_until("the counts are stored", |world| {
        stored_count(world) == Count { good: 3, total: 3 }
    });
}
