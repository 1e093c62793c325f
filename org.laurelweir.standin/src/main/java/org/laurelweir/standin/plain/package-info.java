/**
 * A small plain service, whose record shows each call that was executed. It answers any method
 * under any path; {@code /plain/executions} and {@code /plain/faults} are as the engine's.
 */
package org.laurelweir.standin.plain;
