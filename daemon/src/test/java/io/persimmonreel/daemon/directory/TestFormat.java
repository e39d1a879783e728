package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RouteTable;
import java.util.List;

/** Tells the documents of tests apart: a configuration "config", and replicas "r...". */
abstract class TestFormat implements DirectoryFormat {
    @Override
    public boolean isConfiguration(final String name) {
        return name.equals(VirtualDirectory.CONFIGURATION);
    }

    @Override
    public boolean isReplica(final String name) {
        return name.startsWith("r");
    }

    /** Returns a configuration without routes, upstreams and customers. */
    static RelayConfiguration configuration(final long version) {
        return new RelayConfiguration(
                version, new RouteTable(List.of()), List.of(), CallerLimits.STANDARD, List.of());
    }
}
