/**
 * Placement of chats: the ranking of a service's backend servers, the load bound, the directory of
 * chats whose history is away from their home, and the hints about failing backend servers. Routers
 * and sidecars share this code, which reads no clock and does no input or output.
 */
package org.laurelweir.placement;
