/**
 * Reads, checks and distributes the configuration of the fleet. Operators write it as a YAML text,
 * the operator text; a configuration is an operator text that passed all checks.
 */
package io.persimmonreel.core.config;
