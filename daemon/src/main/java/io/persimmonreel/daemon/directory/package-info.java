/**
 * Read-only access to the directory, which holds the configuration and the replica entries.
 *
 * <p>The package reads and watches the documents of the directory, decodes them, keeps the last
 * valid state while the directory is unreachable, and reports changes. A restored directory has a
 * higher era; the rules by kind of document state what its older documents may undo.
 */
package io.persimmonreel.daemon.directory;
