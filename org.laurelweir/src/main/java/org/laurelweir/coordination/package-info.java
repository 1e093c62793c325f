/**
 * The decisions of a control instance: the state machine of the replicated log (settings, claims,
 * fencing tokens, drain orders), and the soft state that is not replicated through the log
 * (announcements, crash records, loads).
 *
 * <p>{@link org.laurelweir.coordination.ControlReducer} does no I/O. The shell around it does: it
 * passes each {@link org.laurelweir.coordination.ControlEvent} to the reducer and carries out each
 * {@link org.laurelweir.coordination.ControlEffect} that the reducer emits.
 */
package org.laurelweir.coordination;
