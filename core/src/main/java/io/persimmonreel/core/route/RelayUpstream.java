package io.persimmonreel.core.route;

import java.util.Optional;

/**
 * Describes an upstream whose replicas serve relayed requests.
 *
 * @param name the upstream's name
 * @param engine the properties of its engines, empty for plain services
 * @param warmUp what its replicas take after a start, empty if they take all requests at once
 */
public record RelayUpstream(String name, Optional<EngineProfile> engine, Optional<WarmUp> warmUp) {
    /**
     * Creates an upstream whose replicas take all requests at once after a start.
     *
     * @param name the upstream's name
     * @param engine the properties of its engines, empty for plain services
     */
    public RelayUpstream(final String name, final Optional<EngineProfile> engine) {
        this(name, engine, Optional.empty());
    }
}
