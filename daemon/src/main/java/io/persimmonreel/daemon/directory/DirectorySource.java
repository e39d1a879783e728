package io.persimmonreel.daemon.directory;

import java.util.List;
import java.util.Optional;

/**
 * Reads the directory, which holds the configuration and the entries of replicas as documents.
 *
 * <p>Calls return at once; results come on the event loop. One call of each kind runs at a time.
 */
public interface DirectorySource {
    /**
     * Reads all documents.
     *
     * @param listener receives the result
     */
    void readAll(Listener listener);

    /**
     * Waits for changes.
     *
     * @param afterRevision the revision after which changes are wanted
     * @param waitMillis the longest wait in milliseconds
     * @param listener receives the result
     */
    void watch(long afterRevision, long waitMillis, Listener listener);

    /**
     * Holds one document.
     *
     * @param name the name
     * @param content the bytes, empty if the document was removed
     */
    record Document(String name, Optional<byte[]> content) {}

    /** Receives the result of one call; exactly one method is called, once. */
    interface Listener {
        /**
         * Reports documents.
         *
         * @param revision the revision that they reflect
         * @param documents all documents, or those that changed
         */
        void onDocuments(long revision, List<Document> documents);

        /** Reports that the changes since the given revision are no longer known. */
        void onHistoryLost();

        /**
         * Reports that the call failed.
         *
         * @param reason the reason, one short sentence
         */
        void onFailure(String reason);
    }
}
