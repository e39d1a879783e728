/**
 * Implements the command line: subcommands that run a daemon, a demonstration fleet or experiments,
 * send requests, and report what daemons and relays did.
 */
package io.persimmonreel.cli;
