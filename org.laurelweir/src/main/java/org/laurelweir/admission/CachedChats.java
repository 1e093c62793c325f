package org.laurelweir.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many tokens of each chat the backend server likely has cached, for the chats that it answered
 * last. A guess: the backend server's cache events come late and with gaps. One that is wrong costs
 * a misjudged load until the attempt ends, never an answer.
 */
final class CachedChats {
    private final Map<Long, Integer> mTokens;

    /**
     * Creates an empty table.
     *
     * @param capacity most chats; the one unused for longest goes first
     */
    CachedChats(int capacity) {
        mTokens =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
                        return size() > capacity;
                    }
                };
    }

    void put(long chat, int tokens) {
        mTokens.put(chat, tokens);
    }

    boolean contains(long chat) {
        return mTokens.containsKey(chat);
    }

    /** Returns the tokens cached, or 0. */
    int tokens(long chat) {
        return mTokens.getOrDefault(chat, 0);
    }
}
