package io.persimmonreel.core.config;

import java.util.List;
import java.util.stream.Collectors;

/** Reports that an operator text was rejected, and all of its faults. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> mFindings;

    /**
     * Creates an exception from the findings of a check.
     *
     * @param findings the findings, at least one
     */
    public ConfigurationException(final List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        mFindings = List.copyOf(findings);
    }

    /**
     * Returns all findings in the order of their lines.
     *
     * @return the findings, at least one
     */
    public List<Finding> findings() {
        return mFindings;
    }
}
