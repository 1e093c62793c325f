package org.laurelweir.load;

/**
 * The number of requests of one or more routers whose prompts have the same shared part.
 *
 * @param part id of the shared part
 * @param requests number of requests in flight
 */
public record PartLoad(long part, int requests) {}
