/**
 * Customer quotas for the whole fleet. Units of a quota accrue at every daemon, move between
 * daemons and expire; a request is sent only with unspent units.
 */
package io.persimmonreel.core.quota;
