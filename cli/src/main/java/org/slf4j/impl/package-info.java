/** Provides the marker class by which Ratpack detects an SLF4J binding. */
package org.slf4j.impl;
