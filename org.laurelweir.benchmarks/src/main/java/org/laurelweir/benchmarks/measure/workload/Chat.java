package org.laurelweir.benchmarks.measure.workload;

import org.laurelweir.placement.ChatKey;

/**
 * A chat of the generated workload.
 *
 * @param id number of the chat, from 0
 * @param key hash that placement uses
 * @param service index of its service
 * @param account index of its client account
 */
public record Chat(int id, ChatKey key, int service, int account) {}
