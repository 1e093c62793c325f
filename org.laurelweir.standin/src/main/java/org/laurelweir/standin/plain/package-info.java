/**
 * A small plain service that records each call it runs. It answers any method under any path.
 * {@code /plain/executions} and {@code /plain/faults} work as those of the engine.
 */
package org.laurelweir.standin.plain;
