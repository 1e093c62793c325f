package org.laurelweir.contention;

/**
 * What a client account has under way.
 *
 * @param account the client account
 * @param tokens tokens that its requests hold at backend servers
 */
public record AccountDemand(String account, long tokens) {}
