/**
 * The program on the few instances with disks: keeps the replicated log and what follows from it,
 * hears sidecars and routers, and tells them what is new.
 */
package org.laurelweir.control;
