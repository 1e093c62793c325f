/** Which backend servers exist, as announced by their sidecars and passed on as deltas. */
package org.laurelweir.membership;
