package io.persimmonreel.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Collects the findings of the check of one operator text. */
final class Findings {
    private final String mFile;
    private final Set<Finding> mFindings = new LinkedHashSet<>();
    private boolean mTruncated;

    Findings(final String file) {
        mFile = file;
    }

    /** Adds a finding; an empty field stands for the whole text. */
    void add(final int line, final String field, final String reason) {
        if (mFindings.size() < ConfigurationLimits.MAXIMUM_FINDINGS) {
            final String path = field.isEmpty() ? "text" : field;
            mFindings.add(new Finding(mFile, Math.max(1, line), path, reason));
        } else {
            mTruncated = true;
        }
    }

    boolean isEmpty() {
        return mFindings.isEmpty();
    }

    void throwIfAny() throws ConfigurationException {
        if (mFindings.isEmpty()) {
            return;
        }
        final List<Finding> sorted = new ArrayList<>(mFindings);
        sorted.sort(Comparator.comparingInt(Finding::line));
        if (mTruncated) {
            final int last = sorted.get(sorted.size() - 1).line();
            sorted.add(new Finding(mFile, last, "text", "has more findings than are listed"));
        }
        throw new ConfigurationException(sorted);
    }
}
