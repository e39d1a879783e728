/**
 * Takes each request from the caller to an upstream and returns the answer: claims, quarantine
 * checks, dispatch as the scheduler decides, resuming of broken streams, and one final result.
 */
package io.persimmonreel.daemon.request;
