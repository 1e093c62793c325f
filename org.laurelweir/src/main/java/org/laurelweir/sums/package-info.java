/**
 * Sums over the routers of a fleet, which the control instances compute together: the routers
 * report to one instance each, and the instances send each other the sums over their routers.
 */
package org.laurelweir.sums;
