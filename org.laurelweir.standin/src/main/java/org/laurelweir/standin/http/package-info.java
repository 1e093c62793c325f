/** A small HTTP/1.1 server on Netty's codec, with every exchange on one event loop thread. */
package org.laurelweir.standin.http;
