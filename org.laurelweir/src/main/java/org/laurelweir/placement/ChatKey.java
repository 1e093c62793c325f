package org.laurelweir.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * A chat's 64-bit hash, the same on every instance.
 *
 * @param hash XXH3 of the client account and the chat's name
 */
public record ChatKey(long hash) {
    private static final LongHashFunction XXH3 = LongHashFunction.xx3();
    private static final char SEPARATOR = '\0';

    /**
     * Returns the key of a chat.
     *
     * @param account the client account; two accounts never share a chat
     * @param chat the chat's name within the account
     */
    public static ChatKey of(String account, String chat) {
        return new ChatKey(XXH3.hashChars(account + SEPARATOR + chat));
    }

    @Override
    public String toString() {
        return Long.toHexString(hash);
    }
}
