/**
 * Requests that wait at a router until a backend server has room: their order, the shares of client
 * accounts, the limits of the queue, and the time after which a refused caller should return. These
 * are decisions without I/O.
 */
package org.laurelweir.waiting;
