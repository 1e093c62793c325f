/**
 * What a control instance decides: the state machine over the replicated log (settings, claims,
 * fencing numbers, drain orders), and the soft state beside it (announcements, load sums).
 */
package org.laurelweir.coordination;
