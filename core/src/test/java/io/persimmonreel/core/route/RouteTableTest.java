package io.persimmonreel.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private final RouteTable mTable =
            new RouteTable(
                    List.of(
                            route("short", "a.example", "/a/"),
                            route("long", "a.example", "/a/b/"),
                            route("root", "b.example", "/")));

    private static Route route(final String name, final String host, final String prefix) {
        return route(name, host, prefix, List.of(new Route.WeightedUpstream("app", 1)));
    }

    private static Route route(
            final String name,
            final String host,
            final String prefix,
            final List<Route.WeightedUpstream> upstreams) {
        return new Route(
                name,
                host,
                prefix,
                ResendRule.IDEMPOTENT,
                1_000,
                100,
                0,
                1_000,
                0,
                upstreams,
                1,
                false,
                false);
    }

    private String find(final String host, final String target) {
        return mTable.find(host, target).map(Route::name).orElse("none");
    }

    @Nested
    class Find {
        @Test
        void matchesLongestPrefix() {
            assertThat(find("a.example", "/a/b/c")).isEqualTo("long");
            assertThat(find("a.example", "/a/bc")).isEqualTo("short");
            assertThat(find("a.example", "/a/")).isEqualTo("short");
        }

        /** A prefix ends with a slash, so a path without that slash does not match. */
        @Test
        void needsTheSlashAtTheEndOfThePrefix() {
            assertThat(find("a.example", "/a")).isEqualTo("none");
            assertThat(find("b.example", "/anything")).isEqualTo("root");
        }

        @Test
        void ignoresPortCaseAndQuery() {
            assertThat(find("A.example:8080", "/a/x?y=/a/b/")).isEqualTo("short");
            assertThat(find("c.example", "/a/")).isEqualTo("none");
        }
    }

    @Nested
    class PickUpstream {
        private final Route mWeighted =
                route(
                        "split",
                        "a.example",
                        "/",
                        List.of(
                                new Route.WeightedUpstream("old", 90),
                                new Route.WeightedUpstream("off", 0),
                                new Route.WeightedUpstream("new", 10)));

        @Test
        void followsTheWeights() {
            assertThat(mWeighted.pickUpstream(0.0)).isEqualTo("old");
            assertThat(mWeighted.pickUpstream(0.899)).isEqualTo("old");
            assertThat(mWeighted.pickUpstream(0.901)).isEqualTo("new");
            assertThat(mWeighted.pickUpstream(0.999)).isEqualTo("new");
        }
    }
}
