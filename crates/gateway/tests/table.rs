//! Tests of the values that the routing table derives from its routes.

use std::time::Duration;

use proptest::prelude::*;
use tanagerford_gateway::call::RetryPolicy;
use tanagerford_gateway::table::{CallerLimits, Route, RoutingTable, WeightedPool};

fn stream(name: &str, pool: &str, priority: u8, latency_ms: u64) -> Route {
    Route {
        name: name.to_owned(),
        host: "app.example".to_owned(),
        path_prefix: format!("/{name}/"),
        pools: vec![WeightedPool {
            pool: pool.to_owned(),
            weight: 1,
        }],
        retry_policy: RetryPolicy::AtMostOnce,
        is_stream: true,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(latency_ms),
        lower_ranks_latency: Duration::ZERO,
        priority,
        rank_count: 1,
        pause_limit: None,
        max_attempts: 1,
        is_public: true,
    }
}

/// Guards against a delay that refuses calls of a higher rank while it admits a lower one, and against limits that come
/// from higher ranks, other pools or plain services.
#[test]
fn latency_limit_of_a_route_covers_lower_ranks_of_its_pools() {
    let mut plain = stream("orders", "engines", 3, 9_000);
    plain.is_stream = false;
    let routes = [
        stream("answers", "engines", 0, 300),
        stream("drafts", "engines", 1, 600),
        stream("summaries", "engines", 2, 1_500),
        stream("elsewhere", "others", 2, 7_000),
        plain,
    ];
    let table = RoutingTable::new(1, routes, [], None, CallerLimits::default());
    let limit_ms = |name: &str| {
        let route = table.route("app.example", &format!("/{name}/x")).unwrap();
        route.lower_ranks_latency.as_millis()
    };
    let limits = ["answers", "drafts", "summaries", "elsewhere"].map(limit_ms);
    assert_eq!(limits, [1_500, 1_500, 1_500, 7_000]);
}

/// Routes with few names, hosts and prefixes, so that prefixes repeat and contain each other.
fn any_routes() -> impl Strategy<Value = Vec<Route>> {
    let prefix = "(/[ab]{1,2}){0,3}/?";
    let route = (prefix, 0..3_u8, 0..3_usize, any::<bool>(), 1..5_u64);
    let routes = route.prop_map(|(path_prefix, priority, pool, is_stream, latency_s)| {
        let mut route = stream(
            "",
            ["engines", "plain", "both"][pool],
            priority,
            latency_s * 1_000,
        );
        if pool == 2 {
            route.pools = ["engines", "plain"]
                .map(|pool| WeightedPool {
                    pool: pool.to_owned(),
                    weight: 1,
                })
                .to_vec();
        }
        route.path_prefix = path_prefix;
        route.is_stream = is_stream;
        route
    });
    let routes = proptest::collection::vec(routes, 0..20);
    routes.prop_map(|mut routes| {
        for (number, route) in routes.iter_mut().enumerate() {
            route.name = format!("r-{number}");
        }
        routes
    })
}

/// Returns the longest objective of a route and of the streams of its pools with the same or a lower rank.
fn expected_latency(route: &Route, routes: &[Route]) -> Duration {
    let shares_pool = |other: &&Route| {
        let mut pools = other.pools.iter();
        pools.any(|pool| route.pools.iter().any(|own| own.pool == pool.pool))
    };
    let streams = routes.iter().filter(|other| other.is_stream);
    let lower = streams.filter(|other| other.priority >= route.priority);
    let latencies = lower.filter(shares_pool).map(|other| other.target_latency);
    latencies
        .max()
        .unwrap_or_default()
        .max(route.target_latency)
}

proptest! {
    /// Guards against a lookup by length that finds another route than a search through all of them, and against derived
    /// latency limits that differ from a comparison of all routes.
    #[test]
    fn lookups_and_limits_equal_those_of_a_search_through_all_routes(
        routes in any_routes(), path in "(/[abc]{1,2}){0,4}/?é?",
    ) {
        let table = RoutingTable::new(1, routes.clone(), [], None, CallerLimits::default());
        let matching = routes.iter().filter(|route| path.starts_with(&route.path_prefix));
        // The first one of the longest.
        let expected = matching.rev().max_by_key(|route| route.path_prefix.len());
        let found = table.route("app.example", &path);
        prop_assert_eq!(found.map(|route| &route.name), expected.map(|route| &route.name));
        if let Some((found, expected)) = found.zip(expected) {
            prop_assert_eq!(found.lower_ranks_latency, expected_latency(expected, &routes));
        }
    }
}
