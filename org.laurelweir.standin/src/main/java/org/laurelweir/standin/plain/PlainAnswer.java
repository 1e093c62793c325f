package org.laurelweir.standin.plain;

/**
 * The answer of a plain service. It repeats the call, so that a caller can check that it got the
 * answer to its own call.
 *
 * @param service the service's name
 * @param execution the id of the run that gave the answer
 * @param method the call's method
 * @param path the call's path
 * @param digest the digest of the call's body
 * @param resource the path of the resource that a POST created; otherwise the call's path
 */
public record PlainAnswer(
        String service,
        String execution,
        String method,
        String path,
        String digest,
        String resource) {}
