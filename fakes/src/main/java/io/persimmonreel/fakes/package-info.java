/**
 * Provides fakes of the external systems: model engines, plain services and the platform. Each is
 * an HTTP server that can inject faults. The fakes define the HTTP formats between daemon and
 * upstreams.
 */
package io.persimmonreel.fakes;
