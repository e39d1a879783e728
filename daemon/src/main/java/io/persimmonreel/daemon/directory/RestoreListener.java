package io.persimmonreel.daemon.directory;

import java.util.Set;

/** Receives the first documents of each new era, so that documents can be held or kept. */
public interface RestoreListener {
    /**
     * Reports that the directory was restored from an older copy. Called before the documents of
     * the new era are applied, once for each era whose documents are applied.
     *
     * <p>A document that is missing from {@code present} was lost by the restore or was removed; a
     * document that was removed before the restore may be present again.
     *
     * @param era the new era
     * @param firstResponseNanos when the first response of the era or the copy of a peer arrived,
     *     in monotonic nanoseconds; the documents may have arrived later
     * @param present the names of the documents that the directory has now
     */
    void onRestored(long era, long firstResponseNanos, Set<String> present);
}
