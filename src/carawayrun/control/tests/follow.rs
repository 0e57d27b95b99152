//! Replication of the configuration, with and without the table service.

use test_case::test_case;

use super::world::{World, change, resources, service};
use crate::control::follow::{Snapshot, read_snapshot, write_snapshot};
use crate::control::{Admission, Event, Millis, STALE_AFTER};

const NODES: usize = 8;

fn converged_world(seed: u64) -> World {
    let mut world = World::new(NODES, seed);
    world.accept(0);
    world.run_until("all are open at generation 1", |world| {
        all_at_generation(world, 1) && all_open(world)
    });
    world
}

fn all_at_generation(world: &World, generation: u64) -> bool {
    (0..NODES).all(|index| world.generation(index) == generation)
}

fn all_open(world: &World) -> bool {
    world
        .nodes
        .iter()
        .all(|node| node.state.admission() == Admission::Open)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn changes_reach_all_in_order_despite_loss_and_duplication(seed: u64) {
    let mut world = converged_world(seed);
    world.loss = 0.3;
    world.duplication = 0.3;
    for round in 0..20 {
        world.accept(round % NODES);
        world.run(Millis(150));
    }
    world.run_until("all have the newest generation", |world| {
        all_at_generation(world, 21)
    });
    for index in 1..NODES {
        let config = |index: usize| resources(&world.nodes[index].state.context().config);
        assert_eq!(config(index), config(0));
    }
}

#[test]
fn a_change_reaches_all_without_the_table() {
    let mut world = converged_world(4);
    let change = world.table.write_change();
    world.table.down = true;
    world.post(2, Event::ChangeAccepted(Box::new(change)));
    world.run_until("all have generation 2", |world| all_at_generation(world, 2));
    world.run(Millis(60_000));
    assert!(all_open(&world), "peers confirm each other's configuration");
}

#[test]
fn a_change_reaches_all_without_the_peers() {
    let mut world = converged_world(5);
    world.loss = 1.0;
    world.table.write_change();
    world.run_until("all have generation 2", |world| all_at_generation(world, 2));
    assert!(all_open(&world));
}

#[test]
fn an_isolated_node_refuses_requests_until_it_reconnects() {
    let mut world = converged_world(6);
    world.nodes[7].disconnected = true;
    world.run(STALE_AFTER + Millis(200));
    let closed = world.nodes[7].state.admission();
    assert!(
        matches!(
            closed,
            Admission::Closed {
                code: "stale_configuration",
                ..
            }
        ),
        "{closed:?}"
    );
    world.accept(0);
    world.run(Millis(10_000));
    world.nodes[7].disconnected = false;
    world.run_until("the node is open at the newest generation", |world| {
        all_open(world) && world.generation(7) == 2
    });
}

#[test]
fn answers_that_arrive_during_a_freeze_do_not_confirm_the_configuration() {
    let mut world = converged_world(7);
    world.run_until("a poll is under way", |world| world.awaits_config_answer(7));
    world.nodes[7].frozen = true;
    world.run(Millis(20_000));
    world.nodes[7].frozen = false;
    world.nodes[7].disconnected = true;
    world.run(Millis(200));
    assert_ne!(world.nodes[7].state.admission(), Admission::Open);
}

#[test]
fn a_node_far_behind_reads_all_resources() {
    let mut world = converged_world(8);
    for _ in 0..400 {
        world.accept(0);
    }
    world.run_until("all have the newest generation", |world| {
        all_at_generation(world, 401)
    });
    world.restart(7, 2);
    world.run_until("the new incarnation has the newest generation", |world| {
        world.generation(7) == 401
    });
    let config = |index: usize| resources(&world.nodes[index].state.context().config);
    assert_eq!(config(7), config(0));
}

#[test]
fn a_snapshot_sets_the_configuration_without_opening_admission() {
    let mut world = World::new(1, 9);
    world.table.down = true;
    let snapshot = write_snapshot(&Snapshot {
        generation: 5,
        resources: vec![service(5)],
    });
    world.run(Millis(100));
    world.post(0, Event::SnapshotRead(snapshot));
    world.run(Millis(100));
    assert_eq!(world.generation(0), 5);
    assert_ne!(world.nodes[0].state.admission(), Admission::Open);
}

#[test]
fn an_older_snapshot_is_ignored() {
    let mut world = converged_world(10);
    let old = write_snapshot(&Snapshot {
        generation: 0,
        resources: Vec::new(),
    });
    world.post(0, Event::SnapshotRead(old));
    assert_eq!(world.generation(0), 1);
}

#[test_case(0; "in the checksum")]
#[test_case(40; "in the content")]
fn a_damaged_snapshot_is_refused(position: usize) {
    let whole = write_snapshot(&Snapshot {
        generation: 5,
        resources: vec![service(5)],
    });
    read_snapshot(&whole).unwrap();
    let mut damaged = whole.to_vec();
    damaged[position] ^= 1;
    read_snapshot(&damaged).unwrap_err();
}

#[test]
fn a_change_out_of_order_waits_for_those_before_it() {
    let mut world = converged_world(11);
    world.table.down = true;
    world.post(0, Event::ChangeAccepted(Box::new(change(3, service(3)))));
    assert_eq!(world.generation(0), 1);
    world.post(0, Event::ChangeAccepted(Box::new(change(2, service(2)))));
    assert_eq!(world.generation(0), 2);
}

#[test]
fn an_unparsable_head_is_not_treated_as_missing() {
    let mut world = World::new(1, 12);
    world.table.write_change();
    let head = world.table.rows.get_mut(crate::resource::HEAD_KEY).unwrap();
    head.value = serde_json::value::RawValue::from_string("\"newer format\"".into()).unwrap();
    world.run(Millis(20_000));
    assert_ne!(world.nodes[0].state.admission(), Admission::Open);
}
