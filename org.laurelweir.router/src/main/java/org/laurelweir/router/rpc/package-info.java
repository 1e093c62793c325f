/**
 * The router's calls to sidecars and control instances, and the RPC service that explains
 * decisions.
 */
package org.laurelweir.router.rpc;
