/** The discovered replicas, with estimates of their load, speed and health. */
package io.persimmonreel.core.replica;
