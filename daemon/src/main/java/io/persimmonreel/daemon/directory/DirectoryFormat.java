package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;
import java.util.Optional;
import java.util.OptionalLong;

/** Decodes the documents of a directory. */
public interface DirectoryFormat {
    /**
     * Tells whether a document is the configuration.
     *
     * @param name the document's name
     * @return true if it is
     */
    boolean isConfiguration(String name);

    /**
     * Tells whether a document is the entry of a replica.
     *
     * @param name the document's name
     * @return true if it is
     */
    boolean isReplica(String name);

    /**
     * Tells whether a document asks that no requests are sent to the replicas of an availability
     * zone, for as long as the document exists.
     *
     * @param name the document's name
     * @return the zone, empty if it is another kind of document
     */
    default Optional<String> evacuatedZone(final String name) {
        return Optional.empty();
    }

    /**
     * Decodes the configuration.
     *
     * @param name the document's name
     * @param content the content of the document
     * @return the configuration
     * @throws DirectoryException if it can't be read
     */
    RelayConfiguration readConfiguration(String name, byte[] content) throws DirectoryException;

    /**
     * Decodes the entry of a replica.
     *
     * @param name the document's name
     * @param content the content of the document
     * @return the entry
     * @throws DirectoryException if it can't be read or does not describe a usable replica
     */
    ReplicaEntry readReplica(String name, byte[] content) throws DirectoryException;

    /**
     * Returns the id of the replica that a document describes.
     *
     * @param name the document's name
     * @return the part of the name after the last slash
     */
    default String replicaId(final String name) {
        return name.substring(name.lastIndexOf('/') + 1);
    }

    /**
     * Reads the number of a write of a replica's entry, which rises with each write in one start of
     * the replica.
     *
     * @param name the document's name
     * @param content the content of the document
     * @return the number, empty if the entry has none
     * @throws DirectoryException if the entry can't be read
     */
    default OptionalLong writeNumber(final String name, final byte[] content)
            throws DirectoryException {
        return OptionalLong.empty();
    }
}
