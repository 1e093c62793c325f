/**
 * Decides when a copy of a slow request is sent to a second backend server, and how many copies a
 * service may get. Decisions and data only; {@code org.laurelweir.direct.Hedges} applies them.
 */
package org.laurelweir.hedging;
