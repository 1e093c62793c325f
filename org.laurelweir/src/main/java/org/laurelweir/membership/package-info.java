/**
 * The membership of the fleet: which backend servers exist, as they are announced to the control
 * instances, and how changes are sent to peers and readers as deltas.
 */
package org.laurelweir.membership;
