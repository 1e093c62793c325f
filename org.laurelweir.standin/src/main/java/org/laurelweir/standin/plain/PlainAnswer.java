package org.laurelweir.standin.plain;

/**
 * The answer of a plain service, by which a caller can tell that it is the own one.
 *
 * @param service the service's name
 * @param execution the run that gave the answer
 * @param method the call's method
 * @param path the call's path
 * @param digest the digest of the call's body
 * @param resource the path of what a POST has made; else the call's path
 */
public record PlainAnswer(
        String service,
        String execution,
        String method,
        String path,
        String digest,
        String resource) {}
