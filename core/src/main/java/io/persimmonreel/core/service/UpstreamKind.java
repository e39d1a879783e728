package io.persimmonreel.core.service;

/** Distinguishes model engines from plain services. */
public enum UpstreamKind {
    /** A model engine that streams tokens, uses continuous batching and keeps a KV cache. */
    ENGINE,
    /** A plain service, which sends one response body per request. */
    PLAIN
}
