/**
 * Rollout of models: decides which orders to load a model are sent to which engines, at what rate,
 * and which replicas serve meanwhile, until all have the model of the accepted configuration.
 */
package io.persimmonreel.core.order;
