/** A small model engine: a pure model of batching and caching, and the HTTP server around it. */
package org.laurelweir.standin.engine;
