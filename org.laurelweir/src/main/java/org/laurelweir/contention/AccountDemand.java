package org.laurelweir.contention;

/**
 * The tokens in flight of a client account.
 *
 * @param account the client account
 * @param tokens tokens that its requests hold at backend servers
 */
public record AccountDemand(String account, long tokens) {}
