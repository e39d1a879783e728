package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.RelayConfiguration;

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
}
