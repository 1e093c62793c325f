package org.laurelweir.benchmarks.measure.workload;

/**
 * One request of the generated arrivals. The same for every policy.
 *
 * @param at microseconds since the run began
 * @param chat the chat
 * @param router index of the router that gets it
 * @param history prompt tokens that the chat had before this turn; 0 for its first
 * @param prompt tokens of the whole prompt
 * @param output tokens of the answer, which no policy knows beforehand
 * @param deadline microseconds from arrival to the first token
 */
public record Turn(
        long at, Chat chat, int router, int history, int prompt, int output, long deadline) {}
