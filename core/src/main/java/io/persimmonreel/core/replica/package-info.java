/** Replicas that were discovered, with what is believed of their load, speed and health. */
package io.persimmonreel.core.replica;
