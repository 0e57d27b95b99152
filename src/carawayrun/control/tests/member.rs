//! Membership: joining, suspicion, refutation, leaving.

use test_case::test_case;

use super::world::World;
use crate::control::{Admission, Event, Lifecycle, Millis};
use crate::peer::message::MemberState;

fn joined_world(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, seed);
    world.run_until("all members see each other alive", |world| {
        (0..nodes).all(|about| world.all_see(about, MemberState::Alive))
    });
    world
}

#[test_case(2, 1)]
#[test_case(7, 2)]
#[test_case(40, 3)]
fn nodes_discover_each_other_through_the_host_list(nodes: usize, seed: u64) {
    joined_world(nodes, seed);
}

#[test]
fn message_loss_does_not_cause_false_deaths() {
    let mut world = joined_world(8, 4);
    world.loss = 0.05;
    world.duplication = 0.2;
    for _ in 0..600 {
        world.run(Millis(100));
        for about in 0..8 {
            let dead = (0..8).any(|of| world.observed_state(of, about) == MemberState::Dead);
            assert!(!dead, "n{about} was declared dead");
        }
    }
}

#[test]
fn a_frozen_member_is_declared_dead_by_all() {
    let mut world = joined_world(8, 5);
    world.nodes[3].frozen = true;
    world.run_until("all declare it dead", |world| {
        world.all_see(3, MemberState::Dead)
    });
}

#[test]
fn a_suspected_live_member_refutes_the_suspicion() {
    let mut world = joined_world(8, 6);
    world.nodes[3].frozen = true;
    world.run_until("a member suspects it", |world| {
        (0..8).any(|of| world.observed_state(of, 3) == MemberState::Suspect)
    });
    world.nodes[3].frozen = false;
    world.run_until("all see it alive", |world| {
        world.all_see(3, MemberState::Alive)
    });
    assert!(
        world.members(3).local().version > 1,
        "the member raised its version"
    );
}

#[test]
fn a_member_declared_dead_rejoins_without_declaring_others_dead() {
    let mut world = joined_world(8, 7);
    world.nodes[3].frozen = true;
    world.run_until("all declare it dead", |world| {
        world.all_see(3, MemberState::Dead)
    });
    world.run(Millis(20_000));
    world.nodes[3].frozen = false;
    let took = world.run_until("all see it alive", |world| {
        world.all_see(3, MemberState::Alive)
    });
    assert!(took <= Millis(5_000), "rejoining took {took:?}");
    for about in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(
            world.observed_state(3, about),
            MemberState::Alive,
            "n{about}"
        );
    }
}

#[test]
fn a_stalled_member_does_not_suspect_others_for_missed_acks() {
    let mut world = joined_world(8, 12);
    for _ in 0..20 {
        world.run(Millis(100));
        world.nodes[3].frozen = true;
        world.nodes[3].disconnected = true;
        world.run(Millis(900));
        world.nodes[3].frozen = false;
        world.nodes[3].disconnected = false;
        world.run(Millis(100));
        for about in [0, 1, 2, 4, 5, 6, 7] {
            assert_eq!(
                world.observed_state(3, about),
                MemberState::Alive,
                "n{about}"
            );
        }
        world.run(Millis(10_000));
    }
}

#[test]
fn leaving_reaches_all_before_a_suspicion_could_start() {
    let mut world = joined_world(20, 8);
    world.post(5, Event::StopRequested);
    let took = world.run_until("all see it leaving", |world| {
        world.all_see(5, MemberState::Leaving)
    });
    assert!(took <= Millis(2_000), "leaving took {took:?}");
}

#[test]
fn a_host_listed_as_leaving_gets_no_new_requests() {
    let mut world = joined_world(3, 9);
    let leaving = crate::control::HostEntry {
        name: "n1".into(),
        data_centre: "dc1".into(),
        peer_addr: "10.0.0.1:1".into(),
        leaving: true,
    };
    world.post(0, Event::HostsListed(vec![leaving]));
    let members = world.members(0);
    let member = members.get(members.key("n1").unwrap()).unwrap();
    assert!(!member.is_open());
}

#[test]
fn a_new_incarnation_supersedes_the_old_one() {
    let mut world = joined_world(4, 10);
    let old = World::new(1, 0).nodes.remove(0);
    world.restart(0, 2);
    world.run_until("all see the new incarnation", |world| {
        (1..4).all(|of| {
            let members = world.members(of);
            let member = members.key("n0").and_then(|key| members.get(key));
            member.is_some_and(|member| member.node.incarnation == 2)
        })
    });
    // The process of the old incarnation resumes in place of the new one.
    world.nodes[0] = old;
    world.run_until("the old incarnation is superseded", |world| {
        world.nodes[0].state.context().lifecycle == Lifecycle::Superseded
    });
    assert_ne!(world.nodes[0].state.admission(), Admission::Open);
}

#[test]
fn a_partition_heals_after_both_sides_dropped_each_other() {
    let mut world = joined_world(6, 11);
    for node in &mut world.nodes[..2] {
        node.frozen = true;
    }
    world.run(Millis(200_000));
    assert!(
        world.members(3).key("n0").is_none(),
        "dead members are dropped"
    );
    for node in &mut world.nodes[..2] {
        node.frozen = false;
    }
    world.run_until("all members see each other alive", |world| {
        (0..6).all(|about| world.all_see(about, MemberState::Alive))
    });
}
