/**
 * Customer quotas for the whole fleet, which every daemon enforces by its own use and the use that
 * its peers report.
 */
package io.persimmonreel.core.quota;
