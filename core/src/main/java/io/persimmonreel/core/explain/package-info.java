/**
 * Decision records, which explain what happened to a request and why; kept in bounded memory and
 * formatted as sentences.
 */
package io.persimmonreel.core.explain;
