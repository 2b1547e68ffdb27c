//! Lookups of routes, services and customers in the catalog.

use agatepin_core::relay::catalog::{LookupError, RequestKind, RouteCatalog, RouteTarget};
use rstest::rstest;

use super::setups::{catalog, route};

fn two_routes() -> RouteCatalog {
    let kind = RequestKind::Idempotent;
    RouteCatalog::from(catalog(vec![
        route("short", "/a/", kind),
        route("long", "/a/b/", kind),
    ]))
}

#[rstest]
#[case("shop.example", "/a/x", Some("short"))]
#[case("shop.example", "/a/b/x", Some("long"))]
#[case("shop.example", "/a/b/", Some("long"))]
#[case("shop.example", "/a/bc/x", Some("short"))]
#[case("SHOP.example:8080", "/a/b/c/d", Some("long"))]
#[case("shop.example", "/a", None)]
#[case("shop.example", "/", None)]
#[case("other.example", "/a/x", None)]
#[case("", "", None)]
fn a_request_matches_the_longest_prefix_of_its_host(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let catalog = two_routes();
    let found = catalog.route(host, path).ok();
    assert_eq!(found.map(|route| route.name.as_str()), expected);
}

#[rstest]
#[case(Some("k1"), Ok(Some("tannery")))]
#[case(Some("k2"), Ok(Some("press")))]
#[case(Some("k3"), Err(LookupError::UnknownKey))]
#[case(None, Err(LookupError::UnknownKey))]
fn a_key_identifies_its_customer(
    #[case] key: Option<&str>,
    #[case] expected: Result<Option<&str>, LookupError>,
) {
    let catalog = two_routes();
    let route = catalog.route("shop.example", "/a/x").unwrap();
    let found = catalog.customer(route, key);
    let name = found
        .as_ref()
        .map(|customer| customer.as_ref().map(|account| account.name.as_str()));
    assert_eq!(name, expected.as_ref().copied());
}

#[test]
fn an_anonymous_route_needs_no_key() {
    let mut open = route("open", "/a/", RequestKind::Idempotent);
    open.anonymous = true;
    let catalog = RouteCatalog::from(catalog(vec![open]));
    let route = catalog.route("shop.example", "/a/x").unwrap();
    assert_eq!(catalog.customer(route, None), Ok(None));
}

#[test]
fn a_route_selects_its_targets_by_weight() {
    let mut split = route("split", "/a/", RequestKind::Idempotent);
    let target = |service: &str, weight| RouteTarget {
        service: service.to_owned(),
        weight,
    };
    split.targets = vec![target("a", 1), target("b", 3)];
    assert_eq!(split.target(0), "a");
    assert_eq!(split.target(u32::MAX / 4 - 1), "a");
    assert_eq!(split.target(u32::MAX / 4 + 2), "b");
    assert_eq!(split.target(u32::MAX), "b");
}
