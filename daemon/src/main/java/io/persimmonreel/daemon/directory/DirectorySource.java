package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;
import java.util.List;
import java.util.Optional;

/**
 * Reads and watches the directory, which holds the configuration and the replica entries as
 * documents.
 *
 * <p>Methods return at once; listeners are called on the event loop. At most one call of {@link
 * #readAll} and {@link #watch}, and one of {@link #readVersion} and {@link #readHistory}, may be in
 * progress.
 */
public interface DirectorySource {
    /**
     * Reads all documents. They are of one era, also if the directory is restored meanwhile.
     *
     * @param listener receives the result
     */
    void readAll(Listener listener);

    /**
     * Waits for changes.
     *
     * @param afterRevision the revision after which changes are reported, in whatever era the
     *     directory is
     * @param waitMillis the maximum wait in milliseconds
     * @param listener receives the result
     */
    void watch(long afterRevision, long waitMillis, Listener listener);

    /**
     * Reads the version that the directory has now.
     *
     * @param listener receives the version without documents
     */
    void readVersion(Listener listener);

    /**
     * Reads the changes before a revision that the directory still has.
     *
     * @param revision the revision
     * @param listener receives the changes, the eldest first
     */
    void readHistory(long revision, Listener listener);

    /**
     * Holds one document.
     *
     * @param name the name
     * @param content the content, or empty if the document was removed
     */
    record Document(String name, Optional<byte[]> content) {}

    /** Receives the result of one call; exactly one method is called, once. */
    interface Listener {
        /**
         * Reports documents.
         *
         * @param version the version of the directory that they reflect
         * @param documents all documents, or those that changed
         */
        void onDocuments(DirectoryVersion version, List<Document> documents);

        /**
         * Reports that the directory does not have the changes since the given revision.
         *
         * @param era the era of the directory
         */
        void onHistoryLost(long era);

        /**
         * Reports a response that can't be used, for example because it is too long. The same call
         * would get the same response.
         *
         * @param reason the reason, one short sentence
         */
        default void onUnusable(final String reason) {
            onFailure(reason);
        }

        /**
         * Reports that the call failed.
         *
         * @param reason the reason, one short sentence
         */
        void onFailure(String reason);
    }
}
