package org.laurelweir.benchmarks.measure.workload;

import org.laurelweir.placement.ChatKey;

/**
 * A chat.
 *
 * @param id counts from 0
 * @param key its hash
 * @param service index of its service
 * @param account index of its client account
 */
public record Chat(int id, ChatKey key, int service, int account) {}
