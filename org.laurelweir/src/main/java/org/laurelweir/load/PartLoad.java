package org.laurelweir.load;

/**
 * What one or more routers have of requests about one shared part of prompts.
 *
 * @param part the part's id
 * @param requests requests that were sent and are not over
 */
public record PartLoad(long part, int requests) {}
