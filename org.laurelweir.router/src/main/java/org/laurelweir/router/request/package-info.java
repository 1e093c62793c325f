/**
 * Resolves a caller's HTTP request to the request that is routed: its client account, service, chat
 * and settings.
 */
package org.laurelweir.router.request;
