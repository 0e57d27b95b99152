//! Membership: joining, suspicion, refutation, leaving.

use test_case::test_case;

use super::world::World;
use crate::control::{Admission, Event, Lifecycle, Millis};
use crate::peer::message::MemberState;

fn joined(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, seed);
    world.run_until("all know all", |world| {
        (0..nodes).all(|about| world.all_see(about, MemberState::Alive))
    });
    world
}

#[test_case(2, 1)]
#[test_case(7, 2)]
#[test_case(40, 3)]
fn all_find_each_other_through_the_host_list(nodes: usize, seed: u64) {
    joined(nodes, seed);
}

#[test]
fn a_lossy_network_kills_nobody() {
    let mut world = joined(8, 4);
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
fn a_dead_member_is_found_by_all() {
    let mut world = joined(8, 5);
    world.nodes[3].frozen = true;
    world.run_until("all know that it is dead", |world| {
        world.all_see(3, MemberState::Dead)
    });
}

#[test]
fn a_suspected_member_that_lives_refutes() {
    let mut world = joined(8, 6);
    world.nodes[3].frozen = true;
    world.run_until("somebody suspects it", |world| {
        (0..8).any(|of| world.observed_state(of, 3) == MemberState::Suspect)
    });
    world.nodes[3].frozen = false;
    world.run_until("all trust it", |world| world.all_see(3, MemberState::Alive));
    assert!(
        world.members(3).local().version > 1,
        "it raised its version"
    );
}

#[test]
fn a_member_that_was_declared_dead_and_wakes_comes_back_and_kills_nobody() {
    let mut world = joined(8, 7);
    world.nodes[3].frozen = true;
    world.run_until("all know that it is dead", |world| {
        world.all_see(3, MemberState::Dead)
    });
    world.run(Millis(20_000));
    world.nodes[3].frozen = false;
    let took = world.run_until("all trust it", |world| world.all_see(3, MemberState::Alive));
    assert!(took <= Millis(5_000), "a few seconds, not {took:?}");
    for about in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(
            world.observed_state(3, about),
            MemberState::Alive,
            "n{about}"
        );
    }
}

#[test]
fn a_member_that_was_away_suspects_nobody_for_the_acks_it_missed() {
    let mut world = joined(8, 12);
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
fn leaving_reaches_all_before_anybody_could_suspect() {
    let mut world = joined(20, 8);
    world.post(5, Event::StopRequested);
    let took = world.run_until("all know that it leaves", |world| {
        world.all_see(5, MemberState::Leaving)
    });
    assert!(took <= Millis(2_000), "{took:?}");
}

#[test]
fn a_host_that_the_platform_takes_away_gets_no_new_work() {
    let mut world = joined(3, 9);
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
fn a_new_life_replaces_the_old_and_the_old_takes_nothing_more() {
    let mut world = joined(4, 10);
    let old = World::new(1, 0).nodes.remove(0);
    world.restart(0, 2);
    world.run_until("all know the new life", |world| {
        (1..4).all(|of| {
            let members = world.members(of);
            let member = members.key("n0").and_then(|key| members.get(key));
            member.is_some_and(|member| member.node.incarnation == 2)
        })
    });
    // The process of the old life wakes in place of the new one.
    world.nodes[0] = old;
    world.run_until("it learns that it was replaced", |world| {
        world.nodes[0].state.context().lifecycle == Lifecycle::Superseded
    });
    assert_ne!(world.nodes[0].state.admission(), Admission::Open);
}

#[test]
fn a_partition_heals_after_both_sides_forgot_each_other() {
    let mut world = joined(6, 11);
    for node in &mut world.nodes[..2] {
        node.frozen = true;
    }
    world.run(Millis(200_000));
    assert!(
        world.members(3).key("n0").is_none(),
        "the dead are forgotten"
    );
    for node in &mut world.nodes[..2] {
        node.frozen = false;
    }
    world.run_until("all know all", |world| {
        (0..6).all(|about| world.all_see(about, MemberState::Alive))
    });
}
