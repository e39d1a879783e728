package io.persimmonreel.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Closes resources one after another and logs failures, so that one does not stop the others. */
final class ResourceCloser {
    private static final Logger LOG = System.getLogger(ResourceCloser.class.getName());

    /**
     * Closes resources.
     *
     * @param resources the resources in the order of closing; null stands for one not created
     */
    void close(final AutoCloseable... resources) {
        for (final AutoCloseable resource : resources) {
            if (resource != null) {
                close(resource);
            }
        }
    }

    private static void close(final AutoCloseable resource) {
        try {
            resource.close();
        } catch (final Exception e) {
            LOG.log(Level.WARNING, "daemon: A resource was not closed. " + e.getMessage());
        }
    }
}
