use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use test_case::test_case;

use crate::relay::admission::{AdmittedRequest, Refusal, admit};
use crate::relay::catalog::{Catalog, Route, RouteKind, ServiceKey, Target, Team, TeamKey};
use crate::relay::message::ClientRequest;
use crate::relay::view::View;

const SERVICES: [ServiceKey; 2] = [ServiceKey(0), ServiceKey(1)];

fn route(prefix: &str, weights: &[f64]) -> Route {
    let targets = SERVICES.iter().zip(weights);
    Route {
        name: CompactString::from(prefix),
        host: CompactString::from("a"),
        prefix: CompactString::from(prefix),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::ZERO,
        priority: 1_000,
        models: Vec::new(),
        targets: targets
            .map(|(service, weight)| Target {
                service: *service,
                weight: *weight,
            })
            .collect(),
        max_attempts: 1,
        public: false,
    }
}

fn catalog() -> Catalog {
    let teams = [Team {
        name: CompactString::from("shops"),
        priority: Some(70_000),
    }];
    Catalog {
        version: 1,
        routes: vec![
            route("/", &[1.0]),
            route("/part/", &[0.25, 0.5]),
            route("/lost/", &[]),
        ],
        teams: teams.into(),
        api_keys: [(CompactString::from("key"), TeamKey(0))]
            .into_iter()
            .collect(),
        ..Catalog::default()
    }
}

fn ask(catalog: Catalog, path: &str, key: &str, seed: u64) -> Result<AdmittedRequest, Refusal> {
    let view = View {
        catalog: Some(Arc::new(catalog.indexed())),
        is_synced: true,
        ..View::default()
    };
    ask_with(&view, path, key, seed)
}

fn ask_with(view: &View, path: &str, key: &str, seed: u64) -> Result<AdmittedRequest, Refusal> {
    let request = ClientRequest {
        api_key: Some(CompactString::from(key)),
        ..ClientRequest::default()
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let limit = Duration::from_secs(5);
    admit(view, &request, "a", path, Duration::ZERO, limit, &mut rng)
}

// Requests of a route that can't be used went to the route around it.
#[test_case("/a", None; "another route")]
#[test_case("/lost/a", Some(Refusal::Unusable); "the route")]
fn request_of_unusable_route_is_sent_elsewhere(path: &str, expected: Option<Refusal>) {
    assert_eq!(ask(catalog(), path, "key", 1).err(), expected);
}

// A request may be for the route or the team that can't be read.
#[test_case(false, Refusal::NoRoute, Refusal::UnknownKey; "all is read")]
#[test_case(true, Refusal::Unusable, Refusal::Unusable; "some can't be read")]
fn unread_entry_is_refused_for_good(is_unread: bool, route: Refusal, key: Refusal) {
    let catalog = || Catalog {
        has_unplaced_routes: is_unread,
        has_unread_teams: is_unread,
        ..catalog()
    };
    let mut other = catalog();
    other.routes.remove(0);
    assert_eq!(ask(other, "/b/", "key", 1).err(), Some(route));
    assert_eq!(ask(catalog(), "/a", "other", 1).err(), Some(key));
    assert_eq!(ask(catalog(), "/a", "key", 1).err(), None);
}

// A newer configuration that others hold may have added the route or the key.
#[test_case("/b/", "key", Some(Refusal::NotReady); "unknown route")]
#[test_case("/a", "other", Some(Refusal::NotReady); "unknown key")]
#[test_case("/a", "key", None; "known")]
fn gateway_that_is_behind_refuses_for_good(path: &str, key: &str, expected: Option<Refusal>) {
    let mut catalog = catalog();
    let rest = catalog.routes.split_off(1);
    catalog.routes[0].prefix = CompactString::from("/a");
    catalog.routes.extend(rest);
    let view = View {
        catalog: Some(Arc::new(catalog.indexed())),
        is_synced: true,
        is_behind: true,
        ..View::default()
    };
    assert_eq!(ask_with(&view, path, key, 1).err(), expected);
}

// Without a team that can be read, all routes were open to any key.
#[test]
fn unread_teams_open_all_routes() {
    let unread = Catalog {
        teams: Vec::new(),
        api_keys: FxHashMap::default(),
        has_unread_teams: true,
        ..catalog()
    };
    assert_eq!(ask(unread, "/a", "key", 1).err(), Some(Refusal::Unusable));
}

#[test]
fn weights_below_one_share_requests() {
    let second = (0..3_000).filter(|seed| {
        let admitted = ask(catalog(), "/part/a", "key", *seed);
        admitted.expect("it is admitted").service == SERVICES[1]
    });
    let share = second.count() as f64 / 3_000.0;
    assert!((0.62..0.71).contains(&share), "{share}");
}

#[test]
fn urgency_of_any_rank_is_one_that_engines_accept() {
    let admitted = ask(catalog(), "/a", "key", 1).expect("it is admitted");
    assert_eq!(admitted.urgency, 9);
}
