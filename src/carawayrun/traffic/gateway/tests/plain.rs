//! Paths and routes of plain services.

use test_case::test_case;

use crate::resource::{Backend, Named, Route, Service, TaskClass};
use crate::traffic::Code;
use crate::traffic::gateway::plain::{ServicePath, find_route};

fn service(routes: &[(&str, &str)]) -> Named<Service> {
    let routes = routes.iter().map(|(method, path)| Route {
        method: (*method).into(),
        path: (*path).into(),
        idempotent: true,
        class: TaskClass::Normal,
        price_micros: 0,
    });
    Named {
        name: "home".into(),
        spec: Service {
            backend: Backend::Plain,
            tasks: Vec::new(),
            routes: routes.collect(),
        },
    }
}

#[test_case("GET", "/status", Some("/status"); "the path itself")]
#[test_case("get", "/status/7", Some("/status"); "a subpath, method in lower case")]
#[test_case("GET", "/status/all/7", Some("/status/all"); "the longest prefix")]
#[test_case("GET", "/statusboard", None; "part of a segment")]
#[test_case("POST", "/status", None; "another method")]
#[test_case("GET", "/", None; "the root")]
fn route_with_the_longest_segment_prefix_is_found(
    method: &str,
    path: &str,
    expected: Option<&str>,
) {
    let service = service(&[("GET", "/status"), ("GET", "/status/all/")]);
    let found = find_route(&service, method, path).ok();
    assert_eq!(
        found.map(|route| route.path.trim_end_matches('/')),
        expected
    );
}

#[test]
fn path_of_a_call_is_split_into_service_and_path() {
    let target = ServicePath::read("/services/home/switch/4").unwrap();
    assert_eq!(
        target,
        ServicePath {
            service: "home",
            path: "/switch/4"
        }
    );
}

#[test_case("/services/home"; "no path")]
#[test_case("/services//status"; "no service")]
#[test_case("/services/home/a/../switch"; "a parent segment")]
#[test_case("/services/home/./switch"; "a dot segment")]
#[test_case("/services/home/a//switch"; "an empty segment")]
#[test_case("/services/home/a%2F..%2Fswitch"; "escaped slashes")]
#[test_case("/services/home/%2e%2e/switch"; "escaped dots")]
#[test_case("/services/home/a\\switch"; "a backslash")]
fn malformed_or_ambiguous_path_is_refused(path: &str) {
    assert_eq!(
        ServicePath::read(path).unwrap_err().code,
        Code::UnknownRoute
    );
}
