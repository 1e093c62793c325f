/**
 * The router, the program on an entry instance. It forwards callers' HTTP requests to backend
 * servers, through their sidecars or directly. This package assembles the router's parts; the
 * routing decisions are made in {@code org.laurelweir.routing}.
 */
package org.laurelweir.router;
