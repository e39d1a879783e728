/**
 * Connects the core components to the peers and the platform: exchanges heartbeats, configurations
 * and other messages, applies host lists, and sends model orders to engines.
 */
package io.persimmonreel.daemon.fleet;
