/** The callers' side of the router: HTTP/1.1 connections, their limits, and the answers on them. */
package org.laurelweir.router.http;
