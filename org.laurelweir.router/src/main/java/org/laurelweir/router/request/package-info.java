/**
 * From a caller's HTTP request to the request that is routed: who asks, which service answers,
 * which chat it continues, and which settings bind it.
 */
package org.laurelweir.router.request;
