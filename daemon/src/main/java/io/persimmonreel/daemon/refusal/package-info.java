/** Records refused requests: their size, what they waited for, and the cause of the refusal. */
package io.persimmonreel.daemon.refusal;
