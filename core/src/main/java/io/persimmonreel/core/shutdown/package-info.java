/** The graceful shutdown of a daemon, from the first sign of leaving to the end of the process. */
package io.persimmonreel.core.shutdown;
