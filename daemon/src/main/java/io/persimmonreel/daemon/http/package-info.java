/**
 * Serves callers over HTTP: authenticates customers, limits connections and requests, and writes
 * answers, events and problem documents. It also reads what relayed responses have in common.
 */
package io.persimmonreel.daemon.http;
