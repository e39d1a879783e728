/** Request identities, execution outcomes and the problems that are reported to callers. */
package io.persimmonreel.core.request;
