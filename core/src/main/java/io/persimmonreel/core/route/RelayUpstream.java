package io.persimmonreel.core.route;

import java.util.Optional;

/**
 * Describes an upstream whose replicas serve relayed requests.
 *
 * @param name the upstream's name
 * @param engine the properties of its engines, empty for plain services
 */
public record RelayUpstream(String name, Optional<EngineProfile> engine) {}
