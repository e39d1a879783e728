package io.persimmonreel.core.config;

/** Receives accepted configurations. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * Applies a configuration. Versions arrive in ascending order; some may be skipped.
     *
     * @param configuration the accepted configuration
     */
    void onConfiguration(Configuration configuration);
}
