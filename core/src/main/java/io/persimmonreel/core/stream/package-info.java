/**
 * Keeps streams at the software version that began them.
 *
 * <p>Replicas of several software versions may serve side by side, and a stream may go on only at
 * the version that wrote its first event. The package records which versions were in service and
 * where streams began, and decides at which version a stream goes on that a caller continues.
 */
package io.persimmonreel.core.stream;
