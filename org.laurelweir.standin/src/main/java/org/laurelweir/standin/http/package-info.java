/** A small HTTP/1.1 server on Netty's codec; every exchange runs on one event loop thread. */
package org.laurelweir.standin.http;
