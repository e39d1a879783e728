/**
 * Serves callers over HTTP: authenticates customers, limits connections and requests, and writes
 * answers, events and problem documents.
 */
package io.persimmonreel.daemon.http;
