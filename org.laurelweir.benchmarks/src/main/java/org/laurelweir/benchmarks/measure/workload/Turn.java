package org.laurelweir.benchmarks.measure.workload;

/**
 * One request of the generated arrivals. All policies get the same turns.
 *
 * @param at microseconds since the run began
 * @param chat the chat that this turn belongs to
 * @param router index of the router that receives the request
 * @param history prompt tokens that the chat had before this turn; 0 for its first
 * @param prompt tokens of the whole prompt
 * @param output tokens of the answer, unknown to the policies
 * @param deadline microseconds from arrival to the first token
 */
public record Turn(
        long at, Chat chat, int router, int history, int prompt, int output, long deadline) {}
