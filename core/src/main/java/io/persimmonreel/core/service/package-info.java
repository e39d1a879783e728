/**
 * Service definitions from the operator text: services, their tiers and objectives, and the
 * upstreams that run them.
 */
package io.persimmonreel.core.service;
