//! Paths and routes of calls to plain services.

use crate::resource::{Named, Route, Service};
use crate::traffic::Code;

use super::refusal::Refusal;

/// Path prefix of calls to plain services.
pub(super) const PREFIX: &str = "/services/";

/// Service and path of a call to a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ServicePath<'a> {
    /// Name of the service.
    pub(super) service: &'a str,
    /// Path below the service, with its leading slash.
    pub(super) path: &'a str,
}

impl<'a> ServicePath<'a> {
    /// Splits `/services/NAME/PATH`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the path does not have this form, or if it can
    /// be interpreted in two ways: the upstream could then serve another path
    /// than the one that was matched with a route.
    pub(super) fn read(path: &'a str) -> Result<Self, Refusal> {
        let unknown = || Refusal::new(Code::UnknownRoute, "give /services/SERVICE/PATH");
        let rest = path.strip_prefix(PREFIX).ok_or_else(unknown)?;
        let slash = rest.find('/').ok_or_else(unknown)?;
        let (service, path) = rest.split_at(slash);
        if service.is_empty() || is_ambiguous(path) {
            return Err(unknown());
        }
        Ok(Self { service, path })
    }
}

/// Returns the route of a call: the one with the longest prefix of whole
/// segments.
pub(super) fn find_route<'a>(
    service: &'a Named<Service>,
    method: &str,
    path: &str,
) -> Result<&'a Route, Refusal> {
    service
        .spec
        .routes
        .iter()
        .filter(|route| route.method.eq_ignore_ascii_case(method))
        .filter(|route| covers(&route.path, path))
        .max_by_key(|route| route.path.len())
        .ok_or_else(|| {
            let name = &service.name;
            Refusal::new(
                Code::UnknownRoute,
                format!("service `{name}` has no route for {method} {path}"),
            )
        })
}

fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

// Dots, slashes, backslashes and percent signs must not be percent-encoded.
fn is_ambiguous(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let escaped = ["%2e", "%2f", "%5c", "%25"]
        .iter()
        .any(|code| lower.contains(code));
    let ambiguous = escaped || path.contains("//") || path.contains('\\');
    ambiguous
        || path
            .split('/')
            .any(|segment| segment == "." || segment == "..")
}
