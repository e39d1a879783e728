package org.slf4j.impl;

/**
 * Marks that an SLF4J binding is present.
 *
 * <p>Ratpack 1.9 looks up this SLF4J 1 class and prints a false warning if it is absent, although
 * SLF4J 2 finds its binding in another way.
 */
public final class StaticLoggerBinder {
    private StaticLoggerBinder() {}
}
