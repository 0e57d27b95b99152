//! Only one incarnation of an agent sends orders to an engine, even if the engine
//! does not check fencing numbers.

use compact_str::{CompactString, ToCompactString};

use super::world::{Table, change};
use crate::control::{
    Effect, EngineOrder, Event, Identity, Millis, OrderAction, OrderResult, Role, State, TICK,
    UpstreamAction,
};
use crate::peer::NodeId;
use crate::peer::message::Load;
use crate::resource::{Change, ChangeItem, parse_manifests};
use crate::store::table::{TableAnswer, TableError};

/// A table, and an engine that carries out every order at once without checking
/// its fencing number.
#[derive(Default)]
struct World {
    table: Table,
    loaded: Vec<CompactString>,
    orders: Vec<(u64, EngineOrder)>,
    now: Millis,
}

struct Agent {
    incarnation: u64,
    state: State,
    messages: Vec<Event>,
}

type Answer = Result<TableAnswer, TableError>;

impl World {
    fn agent(&mut self, incarnation: u64, versions: &str) -> Agent {
        let mut agent = Agent {
            incarnation,
            state: State::new(identity(incarnation), incarnation),
            messages: Vec::new(),
        };
        let accepted = Event::ChangeAccepted(Box::new(config(1, versions)));
        self.post(&mut agent, &accepted);
        agent
    }

    fn run(&mut self, agent: &mut Agent, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            let warm = self.loaded.iter().map(ToString::to_string).collect();
            let load = Load {
                warm,
                ..Load::default()
            };
            self.post(agent, &Event::LoadChanged(Box::new(load)));
            self.post(agent, &Event::Tick);
            self.deliver(agent);
        }
    }

    fn deliver(&mut self, agent: &mut Agent) {
        for event in std::mem::take(&mut agent.messages) {
            self.post(agent, &event);
        }
    }

    fn post(&mut self, agent: &mut Agent, event: &Event) {
        for effect in agent.state.apply(event, self.now) {
            match effect {
                Effect::CallTable(ticket, call) => {
                    let answer: Answer = self.table.call(call);
                    agent.messages.push(Event::TableAnswered(ticket, answer));
                }
                Effect::Upstream(UpstreamAction::Order(order)) => self.carry_out(agent, order),
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, agent: &mut Agent, order: EngineOrder) {
        match order.action {
            OrderAction::Load => self.loaded.push(order.version.clone()),
            OrderAction::Unload => self.loaded.retain(|loaded| *loaded != order.version),
        }
        self.orders.push((agent.incarnation, order.clone()));
        let event = Event::OrderAnswered(Box::new(order), OrderResult::Accepted);
        agent.messages.push(event);
    }

    fn orders_of(&self, incarnation: u64) -> Vec<(OrderAction, &str, u64)> {
        let own = self
            .orders
            .iter()
            .filter(|(sender, _)| *sender == incarnation);
        own.map(|(_, order)| (order.action, order.version.as_str(), order.fence))
            .collect()
    }
}

#[test]
fn missing_versions_are_loaded_before_extra_ones_are_unloaded() {
    let mut world = World {
        loaded: vec!["old".into()],
        ..World::default()
    };
    let mut agent = world.agent(1, "[a, b]");
    world.run(&mut agent, 200);
    let expected = [
        (OrderAction::Load, "a", 1),
        (OrderAction::Load, "b", 1),
        (OrderAction::Unload, "old", 1),
    ];
    assert_eq!(world.orders_of(1), expected);
}

#[test]
fn a_superseded_incarnation_sends_no_orders_and_its_successor_corrects_the_engine() {
    let mut world = World::default();
    let mut old = world.agent(1, "[a]");
    world.run(&mut old, 60);
    assert_eq!(world.orders_of(1), [(OrderAction::Load, "a", 1)]);

    // The first incarnation is frozen; the second finds its version loaded.
    let mut new = world.agent(2, "[a]");
    world.run(&mut new, 60);
    assert_eq!(world.orders_of(2), []);

    // `a` is unloaded meanwhile, so the resumed incarnation finds it missing.
    world.loaded.clear();
    world.run(&mut old, 200);
    assert_eq!(
        world.orders_of(1).len(),
        1,
        "the resumed incarnation sent an order"
    );
    world.run(&mut new, 60);
    assert_eq!(world.orders_of(2), [(OrderAction::Load, "a", 2)]);
}

#[test]
fn the_lease_is_acquired_when_the_answer_to_its_write_is_lost() {
    let mut world = World::default();
    world.table.lose_answers = 1;
    let mut agent = world.agent(1, "[a]");
    world.run(&mut agent, 100);
    assert_eq!(world.orders_of(1), [(OrderAction::Load, "a", 1)]);
}

#[test]
fn no_orders_are_sent_during_a_store_outage() {
    let mut world = World::default();
    let mut agent = world.agent(1, "[a]");
    world.run(&mut agent, 60);
    world.loaded.clear();
    world.table.down = true;
    world.run(&mut agent, 200);
    assert_eq!(world.orders_of(1).len(), 1);
    world.table.down = false;
    world.run(&mut agent, 100);
    assert_eq!(world.orders_of(1).len(), 2);
}

fn identity(incarnation: u64) -> Identity {
    Identity {
        node: NodeId {
            name: "agent".into(),
            incarnation,
        },
        role: Role::Agent,
        data_centre: "vacoas".into(),
        peer_addr: "10.0.0.1:1".into(),
        http_addr: "10.0.0.1:2".into(),
        upstream: "lathe-1".into(),
    }
}

// A configuration of an engine service whose upstream serves `versions`.
fn config(generation: u64, versions: &str) -> Change {
    let service = "apiVersion: carawayrun/v1\nkind: Service\nmetadata: {name: advisor}\nspec: {backend: engine}\n";
    let models = ["a", "b", "old"].map(|version| {
        format!(
            "---\napiVersion: carawayrun/v1\nkind: Version\nmetadata: {{name: {version}}}\n\
             spec: {{model: lathe, service: advisor, price: {{prompt: 1, completion: 1}}}}\n"
        )
    });
    let upstream = format!(
        "---\napiVersion: carawayrun/v1\nkind: Upstream\nmetadata: {{name: lathe-1}}\n\
         spec: {{service: advisor, dataCentre: vacoas, slots: 2, versions: {versions}}}\n"
    );
    let text = format!("{service}{}{upstream}", models.concat());
    let items = parse_manifests(&text)
        .unwrap()
        .into_iter()
        .flat_map(|resource| change(generation, resource).items);
    let items: Vec<ChangeItem> = items
        .map(|item| ChangeItem {
            kind: item.after.as_ref().map_or(item.kind, |after| after.kind),
            ..item
        })
        .collect();
    let first = items[0].after.clone().unwrap();
    Change {
        items,
        author: "test".to_compact_string(),
        ..change(generation, first)
    }
}
