//! One life at a time orders its engine, also where the engine does not check.

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

/// An engine that obeys any order at once, whatever its number.
#[derive(Default)]
struct World {
    table: Table,
    loaded: Vec<CompactString>,
    orders: Vec<(u64, EngineOrder)>,
    now: Millis,
}

struct Life {
    incarnation: u64,
    state: State,
    mail: Vec<Event>,
}

type Answer = Result<TableAnswer, TableError>;

impl World {
    fn life(&mut self, incarnation: u64, versions: &str) -> Life {
        let mut life = Life {
            incarnation,
            state: State::new(identity(incarnation), incarnation),
            mail: Vec::new(),
        };
        let accepted = Event::ChangeAccepted(Box::new(config(1, versions)));
        self.post(&mut life, &accepted);
        life
    }

    fn run(&mut self, life: &mut Life, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + TICK;
            let warm = self.loaded.iter().map(ToString::to_string).collect();
            let load = Load {
                warm,
                ..Load::default()
            };
            self.post(life, &Event::LoadChanged(Box::new(load)));
            self.post(life, &Event::Tick);
            self.deliver(life);
        }
    }

    fn deliver(&mut self, life: &mut Life) {
        for event in std::mem::take(&mut life.mail) {
            self.post(life, &event);
        }
    }

    fn post(&mut self, life: &mut Life, event: &Event) {
        for effect in life.state.apply(event, self.now) {
            match effect {
                Effect::CallTable(ticket, call) => {
                    let answer: Answer = self.table.call(call);
                    life.mail.push(Event::TableAnswered(ticket, answer));
                }
                Effect::Upstream(UpstreamAction::Order(order)) => self.obey(life, order),
                _ => {}
            }
        }
    }

    fn obey(&mut self, life: &mut Life, order: EngineOrder) {
        match order.action {
            OrderAction::Load => self.loaded.push(order.version.clone()),
            OrderAction::Unload => self.loaded.retain(|loaded| *loaded != order.version),
        }
        self.orders.push((life.incarnation, order.clone()));
        let event = Event::OrderAnswered(Box::new(order), OrderResult::Accepted);
        life.mail.push(event);
    }

    fn orders_of(&self, incarnation: u64) -> Vec<(OrderAction, &str, u64)> {
        let own = self.orders.iter().filter(|(life, _)| *life == incarnation);
        own.map(|(_, order)| (order.action, order.version.as_str(), order.fence))
            .collect()
    }
}

#[test]
fn what_is_missing_is_loaded_before_what_is_too_much_goes() {
    let mut world = World {
        loaded: vec!["old".into()],
        ..World::default()
    };
    let mut life = world.life(1, "[a, b]");
    world.run(&mut life, 200);
    let expected = [
        (OrderAction::Load, "a", 1),
        (OrderAction::Load, "b", 1),
        (OrderAction::Unload, "old", 1),
    ];
    assert_eq!(world.orders_of(1), expected);
}

#[test]
fn a_woken_life_never_orders_and_the_later_one_puts_it_right() {
    let mut world = World::default();
    let mut old = world.life(1, "[a]");
    world.run(&mut old, 60);
    assert_eq!(world.orders_of(1), [(OrderAction::Load, "a", 1)]);

    // The first life is frozen; the second starts with all it wants loaded.
    let mut new = world.life(2, "[a]");
    world.run(&mut new, 60);
    assert_eq!(world.orders_of(2), []);

    // While it was frozen, `a` was unloaded: the woken life misses it.
    world.loaded.clear();
    world.run(&mut old, 200);
    assert_eq!(world.orders_of(1).len(), 1, "the woken life ordered");
    world.run(&mut new, 60);
    assert_eq!(world.orders_of(2), [(OrderAction::Load, "a", 2)]);
}

#[test]
fn a_lost_answer_to_taking_the_row_is_found_out() {
    let mut world = World::default();
    world.table.lose_answers = 1;
    let mut life = world.life(1, "[a]");
    world.run(&mut life, 100);
    assert_eq!(world.orders_of(1), [(OrderAction::Load, "a", 1)]);
}

#[test]
fn nothing_is_ordered_while_the_table_is_out() {
    let mut world = World::default();
    let mut life = world.life(1, "[a]");
    world.run(&mut life, 60);
    world.loaded.clear();
    world.table.down = true;
    world.run(&mut life, 200);
    assert_eq!(world.orders_of(1).len(), 1);
    world.table.down = false;
    world.run(&mut life, 100);
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

// An engine service whose upstream should have `versions`.
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
