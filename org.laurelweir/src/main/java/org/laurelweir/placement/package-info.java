/**
 * Where a chat lands: the ranking of a service's backend servers, the load bound, the directory of
 * chats that sit away from their home, and the hints about failing backend servers. Routers and
 * sidecars share these decisions; neither reads a clock or does input or output here.
 */
package org.laurelweir.placement;
