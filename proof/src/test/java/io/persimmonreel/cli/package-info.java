/**
 * Cucumber steps that run scenarios on a fleet of real daemons. They are in this package to use the
 * package-private fleet and client of the demo command.
 */
package io.persimmonreel.cli;
